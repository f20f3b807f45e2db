package org.elmline.core.placement;

import org.elmline.core.common.LengthClass;

/** Parameters of the policies that predict waits; docs/POLICY.md explains how to choose them. Immutable. */
public final class PlacementSettings {
    private final double shortSlowdownWeight;
    private final double displacementWeight;
    private final double maxLongShare;
    private final double attentionDoublingTokens;
    private final double longStepSeconds;
    private final int[] priorities;

    private PlacementSettings(Builder builder) {
        shortSlowdownWeight = builder.shortSlowdownWeight;
        displacementWeight = builder.displacementWeight;
        maxLongShare = builder.maxLongShare;
        attentionDoublingTokens = builder.attentionDoublingTokens;
        longStepSeconds = builder.longStepSeconds;
        priorities = builder.priorities.clone();
    }

    public static Builder builder() {
        return new Builder();
    }

    public static PlacementSettings defaults() {
        return builder().build();
    }

    /**
     * Seconds of additional wait that a request above the shortest class accepts for each second in which its prefill
     * would slow short requests down.
     */
    public double shortSlowdownWeight() {
        return shortSlowdownWeight;
    }

    /** Seconds of additional wait that a request accepts for each second by which it would delay a longer prefill. */
    public double displacementWeight() {
        return displacementWeight;
    }

    /**
     * Largest share of a model's replicas that prompts over 32k tokens may use, 0 to 1. With two or more replicas, one
     * is always left to shorter prompts.
     */
    public double maxLongShare() {
        return maxLongShare;
    }

    /** Context length in tokens at which attention doubles the prefill time of one token. */
    public double attentionDoublingTokens() {
        return attentionDoublingTokens;
    }

    /** Seconds of additional wait that a request accepts to avoid an engine that prefills a prompt over 128k tokens. */
    public double longStepSeconds() {
        return longStepSeconds;
    }

    /** Engine priority of a length class; 0 is the most urgent. */
    public int priority(LengthClass lengthClass) {
        return priorities[lengthClass.ordinal()];
    }

    /** Builds settings; every value has a default. */
    public static final class Builder {
        private double shortSlowdownWeight = 0.2;
        private double displacementWeight = 0.5;
        private double maxLongShare = 0.95;
        private double attentionDoublingTokens = 200_000;
        private double longStepSeconds = 0.15;
        private int[] priorities = defaultPriorities();

        private Builder() {}

        public Builder shortSlowdownWeight(double value) {
            shortSlowdownWeight = value;
            return this;
        }

        public Builder displacementWeight(double value) {
            displacementWeight = value;
            return this;
        }

        public Builder maxLongShare(double value) {
            maxLongShare = value;
            return this;
        }

        public Builder attentionDoublingTokens(double value) {
            attentionDoublingTokens = value;
            return this;
        }

        public Builder longStepSeconds(double value) {
            longStepSeconds = value;
            return this;
        }

        /** Engine priority of each class, the shortest class first; all equal if engines ignore priorities. */
        public Builder priorities(int... value) {
            priorities = value.clone();
            return this;
        }

        private static int[] defaultPriorities() {
            LengthClass[] classes = LengthClass.values();
            int[] priorities = new int[classes.length];
            for (LengthClass each : classes) {
                priorities[each.ordinal()] = EnginePriority.of(each);
            }
            return priorities;
        }

        public PlacementSettings build() {
            if (!(shortSlowdownWeight >= 0) || !(displacementWeight >= 0) || !(longStepSeconds >= 0)) {
                throw new IllegalArgumentException("placement weights must not be negative");
            }
            if (!(maxLongShare >= 0 && maxLongShare <= 1)) {
                throw new IllegalArgumentException("maxLongShare must be 0 to 1: " + maxLongShare);
            }
            if (priorities.length != LengthClass.values().length) {
                throw new IllegalArgumentException("each length class needs a priority");
            }
            if (!(attentionDoublingTokens > 0)) {
                throw new IllegalArgumentException("attentionDoublingTokens must be above 0");
            }
            return new PlacementSettings(this);
        }
    }
}
