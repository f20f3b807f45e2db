package org.elmline.core.control;

import java.util.List;

/** Several claims in one command, with the waiter of each in the order of the command's outcomes. */
public record ClaimBatch<T>(Command command, List<T> waiters) {
    public ClaimBatch {
        waiters = List.copyOf(waiters);
    }
}
