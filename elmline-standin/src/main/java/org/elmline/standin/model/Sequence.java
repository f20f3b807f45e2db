package org.elmline.standin.model;

/** What the engine knows of one sequence. */
final class Sequence {
    /** Stages in the order in which a sequence passes them; a preempted one goes back to WAITING. */
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

    /** Smaller is sooner. Ageing makes the order one of fixed keys: a level of priority is worth a fixed wait. */
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
