package org.elmline.core.route;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a placement is for. */
public enum PlaceMode {
    /** A whole prompt: may wait at the owner, and its prefill begins as soon as it is granted. */
    @JsonProperty("whole")
    WHOLE(true),
    /**
     * One segment of a prompt larger than an engine. It never waits: requests that hold some engines while they wait
     * for others could deadlock. Its prefill begins later and is reported then.
     */
    @JsonProperty("segment")
    SEGMENT(false);

    private final boolean whole;

    PlaceMode(boolean whole) {
        this.whole = whole;
    }

    /** Whether the owner may queue the request until an engine has capacity. */
    public boolean mayWait() {
        return whole;
    }

    /**
     * Whether the prompt counts as prefill backlog from the grant on, not only from the report that its prefill began.
     */
    public boolean startsPrefillOnGrant() {
        return whole;
    }
}
