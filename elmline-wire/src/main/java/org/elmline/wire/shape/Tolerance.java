package org.elmline.wire.shape;

/** Which deviations from a type are accepted in what is read. */
public enum Tolerance {
    /** Unknown fields and absent numbers are errors. */
    STRICT,

    /**
     * Unknown fields are ignored, and absent numbers are 0. For state that all replicas must decode alike: if each
     * skipped what it can't use, two releases would continue with different states.
     */
    COMPLETE,

    /** As {@link #COMPLETE}, and items of a list that are independent of each other are skipped if they can't be used. */
    LENIENT;

    boolean requiresAllFields() {
        return this == STRICT;
    }

    boolean skipsUnusableItems() {
        return this == LENIENT;
    }
}
