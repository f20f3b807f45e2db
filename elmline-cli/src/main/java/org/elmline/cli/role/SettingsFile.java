package org.elmline.cli.role;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;

import org.elmline.daemon.settings.KeyFileMode;
import org.elmline.daemon.settings.Settings;
import org.elmline.daemon.settings.SettingsProblem;
import org.elmline.daemon.settings.SettingsReader;
import org.elmline.daemon.settings.SettingsResult;

/** Reads the settings file of one role; prints every problem of one that is not valid. */
final class SettingsFile {
    private SettingsFile() {}

    static <S extends Settings> Optional<S> read(Path file, Class<S> type, PrintWriter err) {
        SettingsResult read = new SettingsReader(KeyFileMode.READ).read(file);
        if (read instanceof SettingsResult.Invalid invalid) {
            for (SettingsProblem problem : invalid.problems()) {
                err.println(file + ": " + problem);
            }
            return Optional.empty();
        }
        Settings settings = ((SettingsResult.Valid) read).settings();
        if (!type.isInstance(settings)) {
            err.println(file + ": is of role " + settings.role().settingValue() + ", not for this command");
            return Optional.empty();
        }
        return Optional.of(type.cast(settings));
    }
}
