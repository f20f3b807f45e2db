package org.elmline.core.common;

/** Checks the form that all ids share: 1 to 128 letters, digits, dot, dash, underscore, colon or slash. */
final class IdFormat {
    private static final int MAX_LENGTH = 128;
    private static final int MAX_LENGTH_IN_MESSAGE = 160;
    private static final String ALLOWED_PUNCTUATION = ".-_:/";

    private IdFormat() {}

    static void requireValid(String what, String value) {
        if (!isValid(value)) {
            throw new IllegalArgumentException(what + " must be 1 to 128 of letters, digits and . - _ : / but is '"
                    + (value == null ? null : value.substring(0, Math.min(value.length(), MAX_LENGTH_IN_MESSAGE)))
                    + "'");
        }
    }

    /** By hand, not by a pattern: each message brings dozens of ids. */
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
