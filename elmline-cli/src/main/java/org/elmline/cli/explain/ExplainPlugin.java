package org.elmline.cli.explain;

import java.util.List;

import org.elmline.cli.CommandPlugin;

/** Registers {@code explain} and {@code losses}. */
public final class ExplainPlugin implements CommandPlugin {
    @Override
    public List<Object> commands() {
        return List.of(new ExplainCommand(), new LossesCommand());
    }
}
