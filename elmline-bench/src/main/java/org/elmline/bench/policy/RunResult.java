package org.elmline.bench.policy;

import java.util.EnumMap;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.elmline.bench.workload.Workload;
import org.elmline.core.common.LengthClass;

/**
 * Results of one run. A request without a first token counts with its full time limit, so that abandoned requests can't
 * improve the percentiles. Not thread-safe.
 */
public final class RunResult {
    private static final long HIGHEST_MICROS = 1_000_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;

    private final long measureFromNanos;
    private final Map<LengthClass, Histogram> firstToken = new EnumMap<>(LengthClass.class);
    private final Histogram interTokenLatency = new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS);
    private final Map<LengthClass, long[]> inLimitCounts = new EnumMap<>(LengthClass.class);
    private final double[] offeredTokens = new double[Workload.ORGANISATIONS];
    private final double[] servedTokens = new double[Workload.ORGANISATIONS];
    private int openRequests;
    private long refusedRequests;
    private long cachedTokens;
    private long promptTokens;

    RunResult(long measureFromNanos) {
        this.measureFromNanos = measureFromNanos;
        for (LengthClass each : LengthClass.values()) {
            firstToken.put(each, new Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS));
            inLimitCounts.put(each, new long[2]);
        }
    }

    void recordArrival() {
        openRequests++;
    }

    int openRequests() {
        return openRequests;
    }

    void recordEnd(Job job) {
        openRequests--;
        if (job.arrival.atNanos() < measureFromNanos) {
            return;
        }
        LengthClass lengthClass = job.arrival.lengthClass();
        long waited = job.firstTokenNanos < 0 ? job.arrival.limitNanos() : job.firstTokenNanos - job.arrival.atNanos();
        firstToken.get(lengthClass).recordValue(Math.min(HIGHEST_MICROS, waited / NANOS_PER_MICRO));
        refusedRequests += job.isRefused ? 1 : 0;
        boolean complete = job.endNanos >= 0;
        inLimitCounts.get(lengthClass)[0] += complete ? 1 : 0;
        inLimitCounts.get(lengthClass)[1]++;
        int organisation = job.arrival.organisation();
        long tokens = (long) job.arrival.promptTokens() + job.arrival.outputTokens();
        offeredTokens[organisation] += tokens;
        servedTokens[organisation] += complete ? tokens : 0;
        if (complete && job.arrival.outputTokens() > 1) {
            long each = (job.endNanos - job.firstTokenNanos) / (job.arrival.outputTokens() - 1);
            interTokenLatency.recordValue(Math.min(HIGHEST_MICROS, each / NANOS_PER_MICRO));
        }
    }

    void recordPrefixHits(long cached, long prompt) {
        cachedTokens = cached;
        promptTokens = prompt;
    }

    /** Adds the requests of another run of the same scenario under another seed. */
    void merge(RunResult other) {
        for (LengthClass each : LengthClass.values()) {
            firstToken.get(each).add(other.firstToken.get(each));
            inLimitCounts.get(each)[0] += other.inLimitCounts.get(each)[0];
            inLimitCounts.get(each)[1] += other.inLimitCounts.get(each)[1];
        }
        interTokenLatency.add(other.interTokenLatency);
        refusedRequests += other.refusedRequests;
        for (int i = 0; i < offeredTokens.length; i++) {
            offeredTokens[i] += other.offeredTokens[i];
            servedTokens[i] += other.servedTokens[i];
        }
        cachedTokens += other.cachedTokens;
        promptTokens += other.promptTokens;
    }

    /** Seconds to the first token at a percentile from 0 to 100, for one length class. */
    public double firstTokenSeconds(LengthClass lengthClass, double percentile) {
        return firstToken.get(lengthClass).getValueAtPercentile(percentile) / 1e6;
    }

    /** Inter-token latency in milliseconds at a percentile from 0 to 100; each answer counts with its mean. */
    public double interTokenMillis(double percentile) {
        return interTokenLatency.getValueAtPercentile(percentile) / 1e3;
    }

    public long requests() {
        long sum = 0;
        for (long[] each : inLimitCounts.values()) {
            sum += each[1];
        }
        return sum;
    }

    /** Share of requests whose complete answer arrived within their time limit. */
    public double inLimitFraction() {
        long complete = 0;
        for (long[] each : inLimitCounts.values()) {
            complete += each[0];
        }
        return requests() == 0 ? 1 : (double) complete / requests();
    }

    public double inLimitFraction(LengthClass lengthClass) {
        long[] counts = inLimitCounts.get(lengthClass);
        return counts[1] == 0 ? 1 : (double) counts[0] / counts[1];
    }

    /** Share of requests that were refused at once, for their callers to retry later. */
    public double refusedFraction() {
        return requests() == 0 ? 0 : (double) refusedRequests / requests();
    }

    /** Share of prompt tokens found in a prefix cache. */
    public double prefixHits() {
        return promptTokens == 0 ? 0 : (double) cachedTokens / promptTokens;
    }

    /**
     * Jain's fairness index (Jain, Chiu and Hawe 1984) of the shares of tokens served in time, over organisations: 1
     * when all shares are equal.
     */
    public double jainIndex() {
        double sum = 0;
        double squares = 0;
        int count = 0;
        for (int i = 0; i < offeredTokens.length; i++) {
            if (offeredTokens[i] > 0) {
                double share = servedTokens[i] / offeredTokens[i];
                sum += share;
                squares += share * share;
                count++;
            }
        }
        return squares == 0 ? 1 : sum * sum / (count * squares);
    }
}
