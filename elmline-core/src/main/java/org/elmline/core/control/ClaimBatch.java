package org.elmline.core.control;

import java.util.List;

/** Many claims in one command, with who waits for each, in the same order as the command's outcomes. */
public record ClaimBatch<T>(Command command, List<T> waiters) {
    public ClaimBatch {
        waiters = List.copyOf(waiters);
    }
}
