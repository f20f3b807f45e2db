package org.elmline.cli.settings;

import java.util.List;

import org.elmline.cli.CommandPlugin;

/** Registers {@code settings}. */
public final class SettingsPlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new SettingsCommand());
    }
}
