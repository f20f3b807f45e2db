package org.elmline.cli;

import java.util.List;

/**
 * Brings commands to the program. Implementations register by {@link java.util.ServiceLoader}; each command is an object
 * with picocli's {@code @Command}.
 */
public interface CommandPlugin {
    List<Object> commands();

    /** Under which command these stand; by default they stand directly under the program. */
    default CommandGroup group() {
        return CommandGroup.PROGRAM;
    }
}
