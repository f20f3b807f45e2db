package org.elmline.standin.model;

/** State of one sequence in the engine model. Not thread-safe. */
final class Sequence {
    /** Stages in the order in which a sequence passes through them; a preempted sequence returns to WAITING. */
    enum Stage {
        WAITING,
        PREFILLING,
        DECODING,
        FINISHED
    }

    final SequenceRequest request;
    final long arrivedNanos;
    int priority;
    Stage stage = Stage.WAITING;
    /** Tokens to prefill: the prompt, and after a preemption the answer so far. */
    int prefillTargetTokens;

    int prefilledTokens;
    int generatedTokens;
    /** Tokens held outside shared blocks. */
    long privateTokens;
    /** Leading blocks of the prompt on which this sequence holds a reference. */
    int retainedBlocks;

    Sequence(SequenceRequest request, long arrivedNanos) {
        this.request = request;
        this.arrivedNanos = arrivedNanos;
        priority = request.priority();
        prefillTargetTokens = request.promptTokens();
    }

    /**
     * Sequences with smaller keys run first. One priority level counts as much as {@code ageingNanos} of waiting; as
     * all sequences age at the same rate, keys stay constant while they wait.
     */
    long schedulingKey(long ageingNanos) {
        return arrivedNanos + priority * ageingNanos;
    }

    int remainingPrefillTokens() {
        return prefillTargetTokens - prefilledTokens;
    }

    long contextTokens() {
        return request.importedTokens() + prefilledTokens;
    }
}
