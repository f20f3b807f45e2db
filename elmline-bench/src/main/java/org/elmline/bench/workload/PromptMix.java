package org.elmline.bench.workload;

/** Prompt lengths of the two member bodies: shares of requests in four bands, log-uniform inside each. */
public enum PromptMix {
    /** Mostly guides' questions, some office work, whole season rosters. */
    SNOWPAW(20, 0.80, 0.13, 0.05),
    /** Coach answers, module logs, whole course archives. */
    ZRNO(15, 0.62, 0.26, 0.10);

    /** One prompt in fifty is over 100k tokens, in both bodies. */
    public static final double OVER_100K_SHARE = 0.02;

    private final int engines;
    private final double shortShare;
    private final double mediumShare;
    private final double longShare;

    PromptMix(int engines, double shortShare, double mediumShare, double longShare) {
        this.engines = engines;
        this.shortShare = shortShare;
        this.mediumShare = mediumShare;
        this.longShare = longShare;
    }

    /** Replicas of the body's model today. */
    public int engines() {
        return engines;
    }

    /** Prompt tokens for two draws from 0 to 1. */
    int promptTokens(double band, double within) {
        if (band < shortShare) {
            return logUniform(1_000, 4_000, within);
        }
        if (band < shortShare + mediumShare) {
            return logUniform(4_000, 32_000, within);
        }
        if (band < shortShare + mediumShare + longShare) {
            return logUniform(32_000, 100_000, within);
        }
        return logUniform(100_000, 1_000_000, within);
    }

    private static int logUniform(int from, int to, double within) {
        return (int) Math.round(from * Math.pow((double) to / from, within));
    }
}
