package org.elmline.cli.operator;

import java.util.List;

import org.elmline.cli.CommandGroup;
import org.elmline.cli.CommandPlugin;

/** Registers {@code operator evacuation}. */
public final class EvacuationPlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new EvacuationCommand());
    }

    @Override
    public CommandGroup group() {
        return CommandGroup.OPERATOR;
    }
}
