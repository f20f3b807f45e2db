package org.elmline.cli.bench;

import java.util.List;

import org.elmline.cli.CommandGroup;
import org.elmline.cli.CommandPlugin;

/** Registers {@code bench timeline}. */
public final class TimelineBenchPlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new TimelineBenchCommand());
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.BENCH;
    }
}
