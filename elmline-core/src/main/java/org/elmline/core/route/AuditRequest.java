package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** An owner asks an entry about attempts that an engine holds in its name and for which the owner has no grant. */
public record AuditRequest(HostId host, Incarnation incarnation, List<AttemptId> attempts) {
    public AuditRequest {
        attempts = List.copyOf(attempts);
    }
}
