package org.elmline.daemon.settings;

import java.util.Collection;
import java.util.List;
import java.util.Locale;

/** Suggests a replacement for an unknown key: the same quantity in its proper unit, or the nearest known key. */
final class UnknownKeyHint {
    private static final int MAX_EDIT_DISTANCE = 2;
    private static final List<String> UNITS = List.of(
            "Milliseconds",
            "Microseconds",
            "Nanoseconds",
            "Seconds",
            "Minutes",
            "Millis",
            "Micros",
            "Nanos",
            "Hours",
            "Days",
            "Secs",
            "Kilobytes",
            "Megabytes",
            "Bytes",
            "Kib",
            "Mib",
            "Gib",
            "Kb",
            "Mb",
            "Gb",
            "Sec",
            "Min",
            "Ms",
            "S");

    private UnknownKeyHint() {}

    static String describe(String key, Collection<String> known) {
        for (String each : known) {
            if (each.equalsIgnoreCase(key)) {
                return "unknown key; it is written '" + each + "'";
            }
        }
        for (String each : known) {
            if (hasUnit(each) && withoutUnit(each).equalsIgnoreCase(withoutUnit(key))) {
                return "wrong unit; give it as '" + each + "', in "
                        + unitName(each).toLowerCase(Locale.ROOT);
            }
        }
        for (String each : known) {
            if (editDistance(each, key) <= MAX_EDIT_DISTANCE) {
                return "unknown key; did you mean '" + each + "'?";
            }
        }
        return "unknown key; known here are " + String.join(", ", known);
    }

    private static boolean hasUnit(String key) {
        return !withoutUnit(key).equals(key);
    }

    private static String withoutUnit(String key) {
        for (String unit : UNITS) {
            int stemLength = key.length() - unit.length();
            if (stemLength > 0
                    && key.regionMatches(true, stemLength, unit, 0, unit.length())
                    && startsWord(key, stemLength)) {
                return key.substring(0, stemLength);
            }
        }
        return key;
    }

    private static boolean startsWord(String key, int at) {
        return Character.isUpperCase(key.charAt(at)) || key.charAt(at - 1) == '_';
    }

    private static String unitName(String key) {
        String unit = key.substring(withoutUnit(key).length());
        return unit.equals("Millis") ? "milliseconds" : unit;
    }

    /** Levenshtein distance: number of single characters to insert, delete or replace. */
    private static int editDistance(String a, String b) {
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] current = new int[b.length() + 1];
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int replaced = previous[j - 1] + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                current[j] = Math.min(replaced, Math.min(previous[j], current[j - 1]) + 1);
            }
            previous = current;
        }
        return previous[b.length()];
    }
}
