package org.elmline.cli;

import java.util.List;

/**
 * Adds commands to the program. Implementations are found by {@link java.util.ServiceLoader}; each command is an object
 * with picocli's {@code @Command}.
 */
public interface CommandPlugin {
    List<Object> commands();

    /** The parent of these commands; by default the program itself. */
    default CommandGroup group() {
        return CommandGroup.PROGRAM;
    }
}
