package org.elmline.bench.http;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

/** Latencies and outcomes of one load run; times count from the intended start of each request. Thread-safe. */
public final class HttpLoadResult {
    private static final long HIGHEST_MICROS = 3_600_000_000L;

    private final Histogram firstToken = new Histogram(HIGHEST_MICROS, 3);
    private final Histogram totalLatency = new Histogram(HIGHEST_MICROS, 3);
    private final Map<String, Integer> outcomes = new TreeMap<>();

    synchronized void recordFirstToken(long nanos) {
        firstToken.recordValue(Math.min(HIGHEST_MICROS, nanos / 1_000));
    }

    synchronized void recordEnd(String outcome, long nanos) {
        totalLatency.recordValue(Math.min(HIGHEST_MICROS, nanos / 1_000));
        outcomes.merge(outcome, 1, Integer::sum);
    }

    /**
     * Requests by outcome: {@code done}, {@code cut} for an answer without its end, a status, or an exception's name.
     */
    public synchronized Map<String, Integer> outcomes() {
        return new TreeMap<>(outcomes);
    }

    public synchronized long requests() {
        return totalLatency.getTotalCount();
    }

    /** Milliseconds to the first token at a percentile from 0 to 100. */
    public synchronized double firstTokenMillis(double percentile) {
        return firstToken.getValueAtPercentile(percentile) / 1e3;
    }

    /** Milliseconds to the end of the answer at a percentile from 0 to 100. */
    public synchronized double totalMillis(double percentile) {
        return totalLatency.getValueAtPercentile(percentile) / 1e3;
    }

    public String summary() {
        return String.format(
                Locale.ROOT,
                "requests %d, outcomes %s%nfirst token ms: p50 %.1f, p95 %.1f, p99 %.1f%nwhole answer ms: p50 %.1f,"
                        + " p95 %.1f, p99 %.1f%n",
                requests(),
                outcomes(),
                firstTokenMillis(50),
                firstTokenMillis(95),
                firstTokenMillis(99),
                totalMillis(50),
                totalMillis(95),
                totalMillis(99));
    }
}
