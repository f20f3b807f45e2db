package org.elmline.core.control;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * The one session that may send a claimed call.
 *
 * @param session counts the claim sessions of one incarnation: two callers who use one key on one entry at once are two
 *     sessions, of which one may send
 */
public record ClaimOwner(HostId host, Incarnation incarnation, long session) {}
