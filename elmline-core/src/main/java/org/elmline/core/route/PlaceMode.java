package org.elmline.core.route;

import com.fasterxml.jackson.annotation.JsonProperty;

/** What a placement is for. */
public enum PlaceMode {
    /** A whole prompt: may wait at the owner, and is read as soon as it is granted. */
    @JsonProperty("whole")
    WHOLE(true),
    /**
     * One segment of a prompt larger than an engine. It never waits: a request that holds some engines while it waits
     * for others could wait for one that holds those and waits for its own. Its turn to be read comes later, and is
     * reported then.
     */
    @JsonProperty("segment")
    SEGMENT(false);

    private final boolean whole;

    PlaceMode(boolean whole) {
        this.whole = whole;
    }

    /** Whether the owner may let the request wait for room. */
    public boolean mayWait() {
        return whole;
    }

    /** Whether the prompt counts as prefill backlog from the grant on, not only from the report that it began. */
    public boolean startsPrefillOnGrant() {
        return whole;
    }
}
