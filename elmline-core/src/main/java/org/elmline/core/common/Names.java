package org.elmline.core.common;

import java.util.regex.Pattern;

/** Checks the form that all ids share: 1 to 128 letters, digits, dot, dash, underscore, colon or slash. */
final class Names {
    private static final Pattern FORM = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");

    private Names() {}

    static void requireName(String what, String value) {
        if (value == null || !FORM.matcher(value).matches()) {
            throw new IllegalArgumentException(what + " must be 1 to 128 of letters, digits and . - _ : / but is '"
                    + (value == null ? null : value.substring(0, Math.min(value.length(), 160))) + "'");
        }
    }
}
