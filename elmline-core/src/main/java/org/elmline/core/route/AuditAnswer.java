package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.AttemptId;

/** The attempts of an {@link AuditRequest} that the entry is not running; the owner cancels them on the engine. */
public record AuditAnswer(List<AttemptId> notRunning) {
    public AuditAnswer {
        notRunning = List.copyOf(notRunning);
    }
}
