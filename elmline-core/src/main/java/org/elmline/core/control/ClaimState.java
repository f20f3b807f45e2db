package org.elmline.core.control;

import com.fasterxml.jackson.annotation.JsonProperty;

/** How far a claim has come. */
public enum ClaimState {
    /** Its owner may have sent the call. Stays so for good when the owner dies: no other may take it over. */
    @JsonProperty("begun")
    BEGUN,
    /** The call ran and its answer is recorded. */
    @JsonProperty("recorded")
    RECORDED,
    /** Its last owner knows that it never sent the call; another session may own it next. */
    @JsonProperty("released")
    RELEASED
}
