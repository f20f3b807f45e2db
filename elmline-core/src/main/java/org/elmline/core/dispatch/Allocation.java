package org.elmline.core.dispatch;

/** Slot, prefill time and memory that one attempt takes on one server. Not safe for concurrent use. */
final class Allocation {
    private final DispatchCall call;
    private final boolean isPrimary;
    private final double prefillMillis;
    private final long memoryTokens;
    private boolean isPrefilling = true;
    private long decodingSinceNanos;

    Allocation(DispatchCall call, boolean isPrimary, double prefillMillis, long memoryTokens) {
        this.call = call;
        this.isPrimary = isPrimary;
        this.prefillMillis = prefillMillis;
        this.memoryTokens = memoryTokens;
    }

    DispatchCall call() {
        return call;
    }

    /** Whether this server generates the answer; otherwise it only prefills a part of the prompt. */
    boolean isPrimary() {
        return isPrimary;
    }

    double prefillMillis() {
        return prefillMillis;
    }

    long memoryTokens() {
        return memoryTokens;
    }

    boolean isPrefilling() {
        return isPrefilling;
    }

    void startDecoding(long now) {
        isPrefilling = false;
        decodingSinceNanos = now;
    }

    /** Monotonic time in nanoseconds of the first token, once there is one. */
    long decodingSinceNanos() {
        return decodingSinceNanos;
    }

    /** Context length in tokens at the middle of the answer. */
    long meanContextTokens() {
        return call.promptTokens() + call.answerTokens() / 2;
    }
}
