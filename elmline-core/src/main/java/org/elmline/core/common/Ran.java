package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Whether a call reached and ran on a backend server, as far as elmline can tell. */
public enum Ran {
    /** Never sent, or rejected by the backend server before it ran. A retry is always safe. */
    @JsonProperty("no")
    NO,
    /** Ran, and its outcome is known. */
    @JsonProperty("yes")
    YES,
    /** Sent, but the answer was lost. Only an idempotent call may be retried. */
    @JsonProperty("unknown")
    UNKNOWN;

    /** The value in answers to callers, in lower case. */
    public String wireName() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
