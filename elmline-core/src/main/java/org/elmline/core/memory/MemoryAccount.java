package org.elmline.core.memory;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Account of the bytes that a process holds for its open calls, with a share for each call and one bound for all. Not
 * safe for concurrent use.
 *
 * <p>The levels are ordered so that each kind of use leaves room for the next one. Large answers that are buffered stop
 * first. Request bodies keep some room beyond them, so that new calls are accepted while callers read slowly. The last
 * part is left to short answers and to streams whose callers read, which hold one read at a time.
 */
public final class MemoryAccount {
    /** Bound of an account that accepts everything. */
    public static final long UNBOUNDED = Long.MAX_VALUE;

    /** Share of the bound that request bodies may take, so that answers can still be read and the bodies released. */
    private static final double MAX_BODY_SHARE = 0.6;

    /** Share of the bound from which on reading from servers is paused. */
    private static final double PRESSED_SHARE = 0.75;

    /** Share of the bound up to which large answers may fill it while it is pressed. */
    private static final double MAX_ANSWER_SHARE = 0.9;

    /** Share of the bound up to which request bodies may fill what answers leave. */
    private static final double MAX_FILLED_BY_BODY_SHARE = 0.95;

    /** Share of the room for bodies from which on the account is pressed by them. */
    private static final double PRESSED_BODY_SHARE = 0.9;

    private final long boundBytes;
    private final Set<MemoryShare> shares = new LinkedHashSet<>();
    private long bodyBytes;
    private long answerBytes;
    private long highestBytes;

    /** @param boundBytes most bytes held, {@link #UNBOUNDED} for no bound */
    public MemoryAccount(long boundBytes) {
        this.boundBytes = boundBytes;
    }

    /** Opens the share of a call; {@code now} is monotonic time in nanoseconds. */
    public MemoryShare open(MemoryHolder holder, long now) {
        MemoryShare share = new MemoryShare(this, holder, now);
        shares.add(share);
        return share;
    }

    void remove(MemoryShare share) {
        shares.remove(share);
    }

    void change(long bodyDifference, long answerDifference) {
        bodyBytes += bodyDifference;
        answerBytes += answerDifference;
        highestBytes = Math.max(highestBytes, heldBytes());
    }

    public long boundBytes() {
        return boundBytes;
    }

    public long heldBytes() {
        return bodyBytes + answerBytes;
    }

    /** The most bytes that were held at any time. */
    public long highestBytes() {
        return highestBytes;
    }

    public boolean isBounded() {
        return boundBytes != UNBOUNDED;
    }

    public boolean isEmpty() {
        return shares.isEmpty();
    }

    private long level(double share) {
        return isBounded() ? (long) (boundBytes * share) : UNBOUNDED;
    }

    /** Whether this many more bytes of a request body may be held; a request without a body needs no room. */
    public boolean admitsBody(long bytes) {
        return bytes == 0
                || bytes <= level(MAX_BODY_SHARE) - bodyBytes && bytes <= level(MAX_FILLED_BY_BODY_SHARE) - heldBytes();
    }

    /** Whether this many more bytes of a large buffered answer may be held while the account is pressed. */
    public boolean admitsAnswer(long bytes) {
        return bytes <= level(MAX_ANSWER_SHARE) - heldBytes();
    }

    /** Whether this many more bytes may be held for a stream or a short answer, which are released soon. */
    public boolean admitsShort(long bytes) {
        return bytes <= boundBytes - heldBytes();
    }

    /** Whether reading from servers is to be paused. */
    public boolean isPressed() {
        return heldBytes() >= level(PRESSED_SHARE);
    }

    /** Whether new calls are likely to be refused for the bodies of others. */
    public boolean isFullOfBodies() {
        return bodyBytes >= level(MAX_BODY_SHARE * PRESSED_BODY_SHARE);
    }

    /**
     * The share whose end gives room and whose caller has been idle for longest, and for this long at least. While the
     * account is full of bodies only, the end of an answer gives none.
     */
    public Optional<MemoryShare> longestIdle(long minIdleNanos, long now) {
        MemoryShare longest = null;
        for (MemoryShare each : shares) {
            long useful = isPressed() ? each.heldBytes() : each.bodyBytes();
            boolean longer = longest == null || each.callerIdleNanos(now) > longest.callerIdleNanos(now);
            if (useful > 0 && each.callerIdleNanos(now) >= minIdleNanos && longer) {
                longest = each;
            }
        }
        return Optional.ofNullable(longest);
    }

    /**
     * Recounts all bytes from the open calls. A leaked byte would otherwise stop the process from accepting calls for
     * good, as nothing would release it.
     *
     * @return bytes by which the account was above what the calls hold, negative when it was below
     */
    public long rebuild() {
        long before = heldBytes();
        for (MemoryShare each : List.copyOf(shares)) {
            if (each.holder().isOpen()) {
                each.update();
            } else {
                each.holder().release();
                each.close();
            }
        }
        bodyBytes = 0;
        answerBytes = 0;
        for (MemoryShare each : shares) {
            change(each.holder().bodyBytes(), each.holder().answerBytes());
        }
        return before - heldBytes();
    }
}
