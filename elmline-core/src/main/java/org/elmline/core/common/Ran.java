package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What elmline knows about whether a call reached and ran on a backend server. */
public enum Ran {
    /** Never sent, or refused by the backend server before it ran. A retry is always safe. */
    @JsonProperty("no")
    NO,
    /** Ran, and its outcome is known. */
    @JsonProperty("yes")
    YES,
    /** Sent, with the answer lost. Only an idempotent call may be tried again. */
    @JsonProperty("unknown")
    UNKNOWN;

    /** The spelling in answers to callers. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
