package org.elmline.core.route;

import com.fasterxml.jackson.annotation.JsonProperty;

/** Why an entry releases a grant. Sent only once the engine holds nothing for the attempt any more. */
public enum ReleaseCause {
    /** The engine sent the whole answer. */
    @JsonProperty("finished")
    FINISHED(false),
    /** The engine acknowledged the cancel. */
    @JsonProperty("cancelled")
    CANCELLED(false),
    /** The attempt was never sent to the engine, or the engine refused it before it ran. */
    @JsonProperty("not-started")
    NOT_STARTED(false),
    /** The engine broke the stream off or could not be reached. */
    @JsonProperty("engine-failed")
    ENGINE_FAILED(true);

    private final boolean engineFault;

    ReleaseCause(boolean engineFault) {
        this.engineFault = engineFault;
    }

    /** Whether the release counts as a fault of the engine. */
    public boolean engineFault() {
        return engineFault;
    }
}
