package org.elmline.cli.role;

import java.util.List;

import org.elmline.cli.CommandPlugin;

/** Registers {@code entry}, {@code control} and {@code standin}. */
public final class RolePlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new EntryCommand(), new ControlCommand(), new StandinCommand());
    }
}
