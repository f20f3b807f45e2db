package org.elmline.cli.local;

import java.util.List;

import org.elmline.cli.CommandPlugin;

/** Registers {@code local}. */
public final class LocalPlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new LocalCommand());
    }
}
