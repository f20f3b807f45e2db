package org.elmline.cli.bench;

import java.util.List;

import org.elmline.cli.CommandGroup;
import org.elmline.cli.CommandPlugin;

/** Registers {@code bench policy}, {@code bench decision} and {@code bench http}. */
public final class PolicyBenchPlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new PolicyBenchCommand(), new DecisionBenchCommand(), new HttpBenchCommand());
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.BENCH;
    }
}
