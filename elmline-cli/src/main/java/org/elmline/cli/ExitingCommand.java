package org.elmline.cli;

import java.util.concurrent.Callable;

/** A command that ends with one of the documented exit codes. */
public interface ExitingCommand extends Callable<Integer> {
    ExitCode execute() throws Exception;

    @Override
    default Integer call() throws Exception {
        return execute().code();
    }
}
