package org.elmline.core.control;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * The only session that may send a claimed call.
 *
 * @param session number of the claim session within one incarnation: two callers that use one key on one entry at the
 *     same time have two sessions, of which only one may send
 */
public record ClaimOwner(HostId host, Incarnation incarnation, long session) {
    public ClaimOwner {
        if (host == null || incarnation == null) {
            throw new IllegalArgumentException("the owner of a claim needs host and incarnation");
        }
    }
}
