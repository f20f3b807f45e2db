package org.elmline.daemon.settings;

/**
 * One thing that is wrong in a settings file.
 *
 * @param path where, as a JSON Pointer, for example {@code /lease/renewMillis}; empty for the whole file
 * @param message what is wrong and what would be right
 */
public record SettingsProblem(String path, String message) {
    @Override
    public String toString() {
        return (path.isEmpty() ? "(file)" : path) + ": " + message;
    }
}
