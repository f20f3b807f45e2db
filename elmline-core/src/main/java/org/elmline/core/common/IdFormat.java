package org.elmline.core.common;

/** Validates the format common to all ids: 1 to 128 letters, digits, dots, dashes, underscores, colons or slashes. */
final class IdFormat {
    private static final int MAX_LENGTH = 128;
    private static final int MAX_LENGTH_IN_MESSAGE = 160;
    private static final String ALLOWED_PUNCTUATION = ".-_:/";

    private IdFormat() {}

    static void requireValid(String idType, String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException(idType + " must be 1 to 128 of letters, digits and . - _ : / but is '"
                    + (value == null ? null : value.substring(0, Math.min(value.length(), MAX_LENGTH_IN_MESSAGE)))
                    + "'");
        }
    }

    /** Checks each character without a regular expression, for speed: every message carries dozens of ids. */
    private static boolean isValid(String value) {
        if (value == null || value.isEmpty() || value.length() > MAX_LENGTH) {
            return false;
        }
        for (int i = 0; i < value.length(); i++) {
            if (!isAllowed(value.charAt(i))) {
                return false;
            }
        }
        return true;
    }

    private static boolean isAllowed(char c) {
        return c >= 'a' && c <= 'z'
                || c >= 'A' && c <= 'Z'
                || c >= '0' && c <= '9'
                || ALLOWED_PUNCTUATION.indexOf(c) >= 0;
    }
}
