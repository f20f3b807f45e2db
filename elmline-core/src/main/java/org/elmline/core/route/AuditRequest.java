package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** Sent by an owner to an entry: attempts that an engine holds for the entry and for which the owner has no grant. */
public record AuditRequest(HostId host, Incarnation incarnation, List<AttemptId> attempts) {
    public AuditRequest {
        attempts = List.copyOf(attempts);
    }
}
