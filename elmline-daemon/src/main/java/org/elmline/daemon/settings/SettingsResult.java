package org.elmline.daemon.settings;

import java.util.List;

/** What reading settings gave. */
public sealed interface SettingsResult {
    /** Settings that a process may start with. */
    record Valid(Settings settings) implements SettingsResult {}

    /**
     * Settings that no process starts with.
     *
     * @param problems everything that is wrong, in the order of their paths
     */
    record Invalid(List<SettingsProblem> problems) implements SettingsResult {
        public Invalid {
            problems = List.copyOf(problems);
        }
    }
}
