package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Name of an organisation whose members call elmline with its API keys. */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {
    public OrganisationId {
        IdFormat.requireValid("organisation id", value);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static OrganisationId of(String value) {
        return new OrganisationId(value);
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
