package org.elmline.bench.workload;

/** Prompt lengths in the fleets of the two users: shares of requests in four length bands, log-uniform within each. */
public enum PromptMix {
    /** Mostly questions of guides, some office work, and rosters of whole seasons. */
    SNOWPAW(20, 0.80, 0.13, 0.05),
    /** Answers of coaches, logs of modules, and archives of whole courses. */
    ZRNO(15, 0.62, 0.26, 0.10);

    /** Share of prompts with over 100k tokens: one in fifty, in both mixes. */
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

    /** Number of engines in the user's fleet. */
    public int engines() {
        return engines;
    }

    /** Prompt length in tokens for two draws from 0 to 1. */
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
