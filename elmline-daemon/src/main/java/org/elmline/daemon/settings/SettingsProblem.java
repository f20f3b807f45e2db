package org.elmline.daemon.settings;

/**
 * A problem in a settings file.
 *
 * @param path location of the problem as a JSON Pointer, for example {@code /lease/renewMillis}; empty for the whole file
 * @param message what is wrong and what would be valid
 */
public record SettingsProblem(String path, String message) {
    @Override
    public String toString() {
        return (path.isEmpty() ? "(file)" : path) + ": " + message;
    }
}
