package org.elmline.bench.workload;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.elmline.standin.model.EngineProfile;

/**
 * Draws the requests of a run: Poisson arrivals with bursts, organisations of very different size (Zipf distribution),
 * prefixes shared within an organisation. The same arguments give the same requests.
 */
public final class Workload {
    /** Number of organisations that share the fleet. */
    public static final int ORGANISATIONS = 10;

    private static final double NANOS_PER_SECOND = 1e9;
    private static final int BLOCK_TOKENS = 512;
    private static final double BURST_FACTOR = 2.5;
    private static final double BURST_PERIOD_SECONDS = 50;
    private static final double BURST_SECONDS = 5;
    private static final int COST_SAMPLES = 20_000;
    private static final int PREFIXES_PER_ORGANISATION = 3;
    private static final double SHORT_SHARED_PREFIX_PROBABILITY = 0.4;
    private static final double LONG_SHARED_PREFIX_PROBABILITY = 0.3;
    private static final int MEAN_DECODE_BATCH = 16;

    private final PromptMix mix;
    private final EngineProfile profile;

    public Workload(PromptMix mix, EngineProfile profile) {
        this.mix = mix;
        this.profile = profile;
    }

    /**
     * Requests of one run.
     *
     * @param load offered load relative to the capacity of the engines, 1 for full capacity; prefix-cache hits not
     *     counted
     */
    public List<Arrival> generate(double load, double seconds, long seed) {
        double requestsPerSecond = load * mix.engines() / meanCostSeconds(seed);
        double baseRate = requestsPerSecond / (1 + (BURST_FACTOR - 1) * BURST_SECONDS / BURST_PERIOD_SECONDS);
        SplittableRandom random = new SplittableRandom(seed);
        List<Arrival> arrivals = new ArrayList<>();
        double now = 0;
        while (true) {
            // Thinning (Lewis and Shedler 1979): candidates arrive at the burst rate, most are dropped outside bursts.
            now += -Math.log(1 - random.nextDouble()) / (baseRate * BURST_FACTOR);
            if (now >= seconds) {
                return arrivals;
            }
            boolean burst = now % BURST_PERIOD_SECONDS < BURST_SECONDS;
            if (burst || random.nextDouble() < 1 / BURST_FACTOR) {
                arrivals.add(drawArrival((long) (now * NANOS_PER_SECOND), random));
            }
        }
    }

    private double meanCostSeconds(long seed) {
        SplittableRandom random = new SplittableRandom(seed ^ 0x5eedL);
        double nanos = 0;
        for (int i = 0; i < COST_SAMPLES; i++) {
            int prompt = mix.promptTokens(random.nextDouble(), random.nextDouble());
            nanos += costNanos(prompt, drawOutputTokens(prompt, random));
        }
        return nanos / COST_SAMPLES / NANOS_PER_SECOND;
    }

    /** Engine time of one request: its prefill on an idle engine, and its share of the steps that decode it. */
    double costNanos(int promptTokens, int outputTokens) {
        double decode = profile.decodeNanosPerToken(promptTokens, MEAN_DECODE_BATCH);
        return profile.wholePrefillNanos(promptTokens, 0) + outputTokens * decode;
    }

    private static int drawOutputTokens(int promptTokens, SplittableRandom random) {
        int maxTokens = promptTokens > 32_000 ? 512 : 256;
        return 16 + random.nextInt(maxTokens - 16);
    }

    private Arrival drawArrival(long atNanos, SplittableRandom random) {
        int prompt = mix.promptTokens(random.nextDouble(), random.nextDouble());
        int output = drawOutputTokens(prompt, random);
        int organisation = drawOrganisation(random.nextDouble());
        return new Arrival(atNanos, organisation, prompt, output, drawBlockHashes(prompt, organisation, random));
    }

    /** Zipf distribution: organisation k sends requests in proportion to 1/(k+1). */
    private static int drawOrganisation(double draw) {
        double total = 0;
        for (int k = 0; k < ORGANISATIONS; k++) {
            total += 1.0 / (k + 1);
        }
        double remaining = draw * total;
        for (int k = 0; k < ORGANISATIONS; k++) {
            remaining -= 1.0 / (k + 1);
            if (remaining < 0) {
                return k;
            }
        }
        return ORGANISATIONS - 1;
    }

    private static List<Long> drawBlockHashes(int prompt, int organisation, SplittableRandom random) {
        int count = prompt / BLOCK_TOKENS;
        int shared = drawSharedBlocks(prompt, random);
        long hash = 31L * organisation + random.nextInt(PREFIXES_PER_ORGANISATION) + (shared > 8 ? 1_000 : 0);
        long own = random.nextLong();
        List<Long> blocks = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            hash = mix(hash + (i < shared ? i : own + i));
            blocks.add(hash);
        }
        return blocks;
    }

    /**
     * Length of the shared prefix in blocks: a system prompt for short prompts; a manual or roster of up to 64k tokens
     * for long ones.
     */
    private static int drawSharedBlocks(int prompt, SplittableRandom random) {
        double draw = random.nextDouble();
        if (prompt <= 32_000) {
            return draw < SHORT_SHARED_PREFIX_PROBABILITY ? 2 : 0;
        }
        return draw < LONG_SHARED_PREFIX_PROBABILITY ? Math.min(prompt, 64_000) / BLOCK_TOKENS : 0;
    }

    /** Finaliser of SplitMix64 (Steele, Lea and Flood 2014). */
    private static long mix(long value) {
        long bits = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
        bits = (bits ^ (bits >>> 27)) * 0x94d049bb133111ebL;
        return bits ^ (bits >>> 31);
    }
}
