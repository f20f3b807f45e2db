package org.elmline.daemon.settings;

import java.util.List;

/** Result of reading settings. */
public sealed interface SettingsResult {
    /** Valid settings, with which a process may start. */
    record Valid(Settings settings) implements SettingsResult {}

    /**
     * Invalid settings, with which no process starts.
     *
     * @param problems all problems, in the order of their paths
     */
    record Invalid(List<SettingsProblem> problems) implements SettingsResult {
        public Invalid {
            problems = List.copyOf(problems);
        }
    }
}
