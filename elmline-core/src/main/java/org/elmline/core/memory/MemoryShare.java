package org.elmline.core.memory;

/** The share that one call has in a {@link MemoryAccount}. Not safe for concurrent use. */
public final class MemoryShare {
    private final MemoryAccount account;
    private final MemoryHolder holder;
    private final long openedAtNanos;
    private long bodyBytes;
    private long answerBytes;
    private long waitsSinceNanos;
    private boolean waitsForCaller;
    private boolean closed;

    MemoryShare(MemoryAccount account, MemoryHolder holder, long openedAtNanos) {
        this.account = account;
        this.holder = holder;
        this.openedAtNanos = openedAtNanos;
    }

    /** What holds the bytes. */
    public MemoryHolder holder() {
        return holder;
    }

    /** Sets the share to what the call holds now. A closed share stays empty. */
    public void update() {
        if (!closed) {
            set(holder.bodyBytes(), holder.answerBytes());
        }
    }

    private void set(long newBodyBytes, long newAnswerBytes) {
        account.change(newBodyBytes - bodyBytes, newAnswerBytes - answerBytes);
        bodyBytes = newBodyBytes;
        answerBytes = newAnswerBytes;
    }

    /** Starts the caller's idle time, unless the call waits for its caller already. */
    public void waitForCaller(long now) {
        if (!waitsForCaller) {
            waitsForCaller = true;
            waitsSinceNanos = now;
        }
    }

    /** Restarts the caller's idle time: the caller has read or sent a byte. */
    public void recordProgress(long now) {
        waitsSinceNanos = now;
    }

    /** Ends the caller's idle time: nothing is to be read or sent by the caller. */
    public void stopWaiting() {
        waitsForCaller = false;
    }

    /** Nanoseconds for which the caller has neither read nor sent a byte; 0 when nothing waits for it. */
    public long callerIdleNanos(long now) {
        return waitsForCaller ? now - waitsSinceNanos : 0;
    }

    /** Nanoseconds since the share was opened. */
    public long ageNanos(long now) {
        return now - openedAtNanos;
    }

    /** Bytes held for the call. */
    public long heldBytes() {
        return bodyBytes + answerBytes;
    }

    long bodyBytes() {
        return bodyBytes;
    }

    /** Releases all bytes of the call; further calls do nothing. */
    public void close() {
        if (!closed) {
            set(0, 0);
            stopWaiting();
            closed = true;
            account.remove(this);
        }
    }
}
