package org.elmline.core.engine;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Why a complete answer ended, with the values of the OpenAI API. */
public enum FinishReason {
    @JsonProperty("stop")
    STOP,
    @JsonProperty("length")
    LENGTH;

    public String text() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
