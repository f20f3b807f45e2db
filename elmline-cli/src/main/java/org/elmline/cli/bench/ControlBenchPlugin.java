package org.elmline.cli.bench;

import java.util.List;

import org.elmline.cli.CommandGroup;
import org.elmline.cli.CommandPlugin;

/** Registers {@code bench control} and {@code bench deployment}. */
public final class ControlBenchPlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new ControlBenchCommand(), new DeploymentBenchCommand());
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.BENCH;
    }
}
