package org.elmline.core.admission;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How a dispatcher decides whether a call can still be served in time. */
public enum AdmissionMode {
    /** By a forecast of when slots, memory and prefill become free on the engines. */
    @JsonProperty("forecast")
    FORECAST,
    /** By the mean work of the waiting calls over all slots. */
    @JsonProperty("slots")
    SLOTS
}
