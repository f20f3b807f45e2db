package org.elmline.core.quarantine;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Id of a part of a prompt. Prompts with the same part have the same text there. */
public record PromptPart(@JsonValue String value) implements Comparable<PromptPart> {
    /** Longest id in characters; a digest of 256 bits in hexadecimal. */
    public static final int MAX_LENGTH = 64;

    public PromptPart {
        if (value == null || value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("prompt part must be 1 to " + MAX_LENGTH + " characters");
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static PromptPart of(String value) {
        return new PromptPart(value);
    }

    /** Whether a text has the length of an id. */
    public static boolean isValid(String text) {
        return !text.isEmpty() && text.length() <= MAX_LENGTH;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof PromptPart that && value.equals(that.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(PromptPart other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
