package org.elmline.core.dispatch;

/** What one attempt takes of one server. */
final class Allocation {
    private final DispatchCall call;
    private final boolean isPrimary;
    private final double prefillMillis;
    private final long memoryTokens;
    private boolean isPrefilling = true;

    Allocation(DispatchCall call, boolean primary, double readMillis, long memoryTokens) {
        this.call = call;
        this.isPrimary = primary;
        this.prefillMillis = readMillis;
        this.memoryTokens = memoryTokens;
    }

    DispatchCall call() {
        return call;
    }

    /** Whether the server answers the call itself, and so writes. */
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

    void startDecoding() {
        isPrefilling = false;
    }

    /** Context at the middle of the answer, in tokens. */
    long meanContextTokens() {
        return call.promptTokens() + call.answerTokens() / 2;
    }
}
