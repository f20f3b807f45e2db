package org.elmline.core.quarantine;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Id of a part of a prompt, or of a whole request. Prompts with the same part have the same text there. */
public record PromptPart(@JsonValue String value) implements Comparable<PromptPart> {
    /** Longest id in characters; a digest of 256 bits in hexadecimal. */
    public static final int MAX_LENGTH = 64;

    /** Begins the id of a whole request; ids of parts that prompts share have no colon. */
    private static final String REQUEST_PREFIX = "request:";

    /** Part of a digest that is kept: 128 bits in hexadecimal. */
    private static final int DIGEST_CHARACTERS = 32;

    public PromptPart {
        if (value == null || value.isEmpty() || value.length() > MAX_LENGTH) {
            throw new IllegalArgumentException("prompt part must be 1 to " + MAX_LENGTH + " characters");
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static PromptPart of(String value) {
        return new PromptPart(value);
    }

    /** A whole request, by the SHA-256 of its content in hexadecimal, as a part that only its repeats share. */
    public static PromptPart ofRequest(String sha256) {
        return new PromptPart(REQUEST_PREFIX + sha256.substring(0, DIGEST_CHARACTERS));
    }

    /** Whether this is a whole request rather than a part that different requests share. */
    public boolean isRequest() {
        return value.startsWith(REQUEST_PREFIX);
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
