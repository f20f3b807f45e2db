package org.elmline.core.control;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * A host whose membership has ended.
 *
 * @param incarnation its last incarnation; a process of a lower one can never join again
 * @param version members version that ended it
 */
public record EndedHost(HostId id, Incarnation incarnation, long version) {}
