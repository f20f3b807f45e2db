package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

/**
 * Limits weight loads to the weight store's rate. It starts empty: if it started full at each change of leader, several
 * leaders in quick succession would together exceed the rate. Not safe for concurrent use.
 */
final class TokenBucket {
    private static final double NANOS_PER_MINUTE = TimeUnit.MINUTES.toNanos(1);

    private final double tokensPerMinute;
    private final double capacity;
    private double tokens;
    private long refilledAtNanos;

    TokenBucket(double tokensPerMinute, double capacity, long nowNanos) {
        this.tokensPerMinute = tokensPerMinute;
        this.capacity = capacity;
        this.refilledAtNanos = nowNanos;
    }

    boolean tryAcquire(long nowNanos) {
        tokens = Math.min(capacity, tokens + tokensPerMinute * (nowNanos - refilledAtNanos) / NANOS_PER_MINUTE);
        refilledAtNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
