package org.elmline.bench.policy;

import java.util.EnumMap;
import java.util.Map;

import org.HdrHistogram.Histogram;
import org.elmline.bench.workload.Workload;
import org.elmline.core.common.LengthClass;

/**
 * What one run brought. A request without a first token counts with its whole limit, so that what is given up can't make
 * the percentiles look better.
 */
public final class RunResult {
    private static final long HIGHEST_MICROS = 1_000_000_000L;
    private static final int DIGITS = 3;
    private static final long NANOS_PER_MICRO = 1_000;

    private final long countedFromNanos;
    private final Map<LengthClass, Histogram> firstToken = new EnumMap<>(LengthClass.class);
    private final Histogram betweenTokens = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Map<LengthClass, long[]> inLimit = new EnumMap<>(LengthClass.class);
    private final double[] offered = new double[Workload.ORGANISATIONS];
    private final double[] served = new double[Workload.ORGANISATIONS];
    private int open;
    private long refused;
    private long cachedTokens;
    private long promptTokens;

    RunResult(long countedFromNanos) {
        this.countedFromNanos = countedFromNanos;
        for (LengthClass each : LengthClass.values()) {
            firstToken.put(each, new Histogram(HIGHEST_MICROS, DIGITS));
            inLimit.put(each, new long[2]);
        }
    }

    void arrived() {
        open++;
    }

    int open() {
        return open;
    }

    void ended(Job job) {
        open--;
        if (job.arrival.atNanos() < countedFromNanos) {
            return;
        }
        LengthClass lengthClass = job.arrival.lengthClass();
        long waited = job.firstTokenNanos < 0 ? job.arrival.limitNanos() : job.firstTokenNanos - job.arrival.atNanos();
        firstToken.get(lengthClass).recordValue(Math.min(HIGHEST_MICROS, waited / NANOS_PER_MICRO));
        refused += job.refused ? 1 : 0;
        boolean whole = job.endNanos >= 0;
        inLimit.get(lengthClass)[0] += whole ? 1 : 0;
        inLimit.get(lengthClass)[1]++;
        int organisation = job.arrival.organisation();
        long tokens = (long) job.arrival.promptTokens() + job.arrival.outputTokens();
        offered[organisation] += tokens;
        served[organisation] += whole ? tokens : 0;
        if (whole && job.arrival.outputTokens() > 1) {
            long each = (job.endNanos - job.firstTokenNanos) / (job.arrival.outputTokens() - 1);
            betweenTokens.recordValue(Math.min(HIGHEST_MICROS, each / NANOS_PER_MICRO));
        }
    }

    void prefixHits(long cached, long prompt) {
        cachedTokens = cached;
        promptTokens = prompt;
    }

    /** Adds the requests of another run of the same scenario under another seed. */
    void add(RunResult other) {
        for (LengthClass each : LengthClass.values()) {
            firstToken.get(each).add(other.firstToken.get(each));
            inLimit.get(each)[0] += other.inLimit.get(each)[0];
            inLimit.get(each)[1] += other.inLimit.get(each)[1];
        }
        betweenTokens.add(other.betweenTokens);
        refused += other.refused;
        for (int i = 0; i < offered.length; i++) {
            offered[i] += other.offered[i];
            served[i] += other.served[i];
        }
        cachedTokens += other.cachedTokens;
        promptTokens += other.promptTokens;
    }

    /** Seconds to the first token at a percentile, for one class. */
    public double firstTokenSeconds(LengthClass lengthClass, double percentile) {
        return firstToken.get(lengthClass).getValueAtPercentile(percentile) / 1e6;
    }

    /** Milliseconds between tokens, the mean of each whole answer, at a percentile. */
    public double betweenTokensMillis(double percentile) {
        return betweenTokens.getValueAtPercentile(percentile) / 1e3;
    }

    public long requests() {
        long sum = 0;
        for (long[] each : inLimit.values()) {
            sum += each[1];
        }
        return sum;
    }

    /** Share of requests whose whole answer came within their limit. */
    public double shareInLimit() {
        long whole = 0;
        for (long[] each : inLimit.values()) {
            whole += each[0];
        }
        return requests() == 0 ? 1 : (double) whole / requests();
    }

    public double shareInLimit(LengthClass lengthClass) {
        long[] counts = inLimit.get(lengthClass);
        return counts[1] == 0 ? 1 : (double) counts[0] / counts[1];
    }

    /** Share of requests that were refused at once, to be tried again later by their callers. */
    public double shareRefused() {
        return requests() == 0 ? 0 : (double) refused / requests();
    }

    /** Share of prompt tokens that a prefix cache spared. */
    public double prefixHits() {
        return promptTokens == 0 ? 0 : (double) cachedTokens / promptTokens;
    }

    /** Jain's index of the share of tokens served in time, over organisations: 1 when all fare alike. */
    public double jainIndex() {
        double sum = 0;
        double squares = 0;
        int count = 0;
        for (int i = 0; i < offered.length; i++) {
            if (offered[i] > 0) {
                double share = served[i] / offered[i];
                sum += share;
                squares += share * share;
                count++;
            }
        }
        return squares == 0 ? 1 : sum * sum / (count * squares);
    }
}
