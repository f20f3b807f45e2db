package org.elmline.standin.model;

/**
 * Size and speed of one engine; immutable. Defaults model one accelerator with a model of about 8 billion parameters.
 */
public final class EngineProfile {
    private final long capacityKvTokens;
    private final int blockTokens;
    private final int stepTokens;
    private final int maxSequences;
    private final double stepNanos;
    private final double prefillNanosPerToken;
    private final double attentionDoublingTokens;
    private final double decodeNanosPerSequence;
    private final double decodeNanosPerKvToken;
    private final long ageingNanos;

    private EngineProfile(Builder builder) {
        capacityKvTokens = builder.capacityKvTokens;
        blockTokens = builder.blockTokens;
        stepTokens = builder.stepTokens;
        maxSequences = builder.maxSequences;
        stepNanos = builder.stepNanos;
        prefillNanosPerToken = builder.prefillNanosPerToken;
        attentionDoublingTokens = builder.attentionDoublingTokens;
        decodeNanosPerSequence = builder.decodeNanosPerSequence;
        decodeNanosPerKvToken = builder.decodeNanosPerKvToken;
        ageingNanos = builder.ageingNanos;
    }

    public static Builder builder() {
        return new Builder();
    }

    public long capacityKvTokens() {
        return capacityKvTokens;
    }

    /** Tokens in one block of the prefix cache. */
    public int blockTokens() {
        return blockTokens;
    }

    /** Maximum number of tokens, prefilled and decoded together, that one step computes. */
    public int stepTokens() {
        return stepTokens;
    }

    /** Maximum number of sequences that hold memory and run at the same time. */
    public int maxSequences() {
        return maxSequences;
    }

    /** Waiting time that raises a sequence by one priority level. */
    public long ageingNanos() {
        return ageingNanos;
    }

    /** Prompt tokens per second that an idle engine prefills when prompts are short. */
    public long prefillTokensPerSecond() {
        return Math.round(1e9 / (prefillNanosPerToken + stepNanos / stepTokens));
    }

    /** Fixed part of a step's time. */
    double stepNanos() {
        return stepNanos;
    }

    /**
     * Time to prefill {@code tokens} after {@code context} tokens; grows with the context that each token attends to.
     */
    double prefillNanos(int tokens, long context) {
        double meanContext = context + tokens / 2.0;
        return tokens * prefillNanosPerToken * (1 + meanContext / attentionDoublingTokens);
    }

    double decodeNanos(int sequences, long kvTokens) {
        return sequences * decodeNanosPerSequence + kvTokens * decodeNanosPerKvToken;
    }

    /** A sequence's share of the time of a decoding step with {@code batch} sequences. */
    public double decodeNanosPerToken(long kvTokens, int batch) {
        return decodeNanos(1, kvTokens) + stepNanos / batch;
    }

    /** Time to prefill a whole prompt on an otherwise idle engine. */
    public double wholePrefillNanos(int promptTokens, int cachedTokens) {
        int tokens = Math.max(1, promptTokens - cachedTokens);
        int steps = (tokens + stepTokens - 1) / stepTokens;
        return prefillNanos(tokens, cachedTokens) + steps * stepNanos;
    }

    /** Builds a profile; every value has a default. */
    public static final class Builder {
        private long capacityKvTokens = 450_000;
        private int blockTokens = 512;
        private int stepTokens = 512;
        private int maxSequences = 128;
        private double stepNanos = 6e6;
        private double prefillNanosPerToken = 25e3;
        private double attentionDoublingTokens = 200_000;
        private double decodeNanosPerSequence = 50e3;
        private double decodeNanosPerKvToken = 8;
        private long ageingNanos = 60_000_000_000L;

        private Builder() {}

        public Builder capacityKvTokens(long value) {
            capacityKvTokens = value;
            return this;
        }

        public Builder blockTokens(int value) {
            blockTokens = value;
            return this;
        }

        public Builder stepTokens(int value) {
            stepTokens = value;
            return this;
        }

        public Builder maxSequences(int value) {
            maxSequences = value;
            return this;
        }

        /** Fixed time of one step, in nanoseconds. */
        public Builder stepNanos(double value) {
            stepNanos = value;
            return this;
        }

        public Builder prefillNanosPerToken(double value) {
            prefillNanosPerToken = value;
            return this;
        }

        /** Context at which attention has doubled the time of one prefilled token. */
        public Builder attentionDoublingTokens(double value) {
            attentionDoublingTokens = value;
            return this;
        }

        public Builder ageingNanos(long value) {
            ageingNanos = value;
            return this;
        }

        public EngineProfile build() {
            if (capacityKvTokens < 1 || blockTokens < 1 || stepTokens < 1 || maxSequences < 1 || ageingNanos < 1) {
                throw new IllegalArgumentException(
                        "capacityKvTokens, blockTokens, stepTokens, maxSequences and ageingNanos must be at least 1");
            }
            return new EngineProfile(this);
        }
    }
}
