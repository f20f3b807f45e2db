package org.elmline.cli.bench;

import java.util.List;

import org.elmline.cli.CommandGroup;
import org.elmline.cli.CommandPlugin;

/** Registers {@code bench control}. */
public final class ControlBenchPlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new ControlBenchCommand());
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.BENCH;
    }
}
