package org.elmline.core.control;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Progress of a claim. */
public enum ClaimState {
    /**
     * Its owner may have sent the call. A claim stays in this state if the owner dies: no other session may take it
     * over.
     */
    @JsonProperty("begun")
    BEGUN,
    /** The call ran and its answer is recorded. */
    @JsonProperty("recorded")
    RECORDED,
    /** Its last owner certainly never sent the call; another session may own it next. */
    @JsonProperty("released")
    RELEASED
}
