package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.AttemptId;

/** Those of the attempts that the entry is not running; the owner cancels them on the engine. */
public record AuditAnswer(List<AttemptId> notRunning) {
    public AuditAnswer {
        notRunning = List.copyOf(notRunning);
    }
}
