package org.elmline.core.control;

import java.util.concurrent.TimeUnit;

/**
 * Spreads weight loads under the weight store's rate limit. It starts empty: a full one at each change of leader would
 * let leaders that follow one another closely exceed the rate together.
 */
final class TokenBucket {
    private static final double NANOS_PER_MINUTE = TimeUnit.MINUTES.toNanos(1);

    private final double perMinute;
    private final double most;
    private double tokens;
    private long atNanos;

    TokenBucket(double perMinute, double most, long nowNanos) {
        this.perMinute = perMinute;
        this.most = most;
        this.atNanos = nowNanos;
    }

    boolean take(long nowNanos) {
        tokens = Math.min(most, tokens + perMinute * (nowNanos - atNanos) / NANOS_PER_MINUTE);
        atNanos = nowNanos;
        if (tokens < 1) {
            return false;
        }
        tokens--;
        return true;
    }
}
