package org.elmline.core.common;

/** Classes of prompt length in tokens, by which time to first token is reported. */
public enum LengthClass {
    SHORT(4_000),
    MEDIUM(32_000),
    LONG(128_000),
    HUGE(Integer.MAX_VALUE);

    private static final LengthClass[] ALL = values();

    private final int maxTokens;

    LengthClass(int maxTokens) {
        this.maxTokens = maxTokens;
    }

    /** Longest prompt of this class, in tokens. */
    public int maxTokens() {
        return maxTokens;
    }

    public static LengthClass of(int promptTokens) {
        for (LengthClass each : ALL) {
            if (promptTokens <= each.maxTokens) {
                return each;
            }
        }
        return HUGE;
    }
}
