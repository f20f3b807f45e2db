package org.elmline.cli.role;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.cli.log.LogConfiguration;
import org.elmline.daemon.settings.Settings;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Reads one settings file, starts the role it describes and runs it until SIGTERM or SIGINT. */
public abstract class RoleCommand<S extends Settings> implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Option(names = "--settings", required = true, paramLabel = "FILE", description = "settings of the process, JSON")
    private Path file;

    private final Class<S> type;

    RoleCommand(Class<S> type) {
        this.type = type;
    }

    abstract RunningRole start(S settings) throws Exception;

    @Override
    public ExitCode execute() throws Exception {
        Optional<S> settings = SettingsFile.read(file, type, spec.commandLine().getErr());
        if (settings.isEmpty()) {
            return ExitCode.INVALID;
        }
        LogConfiguration.apply(settings.get());
        run(start(settings.get()), spec.commandLine().getOut());
        return ExitCode.OK;
    }

    /** Prints the ready line and blocks until the process is stopped. */
    public static void run(RunningRole role, PrintWriter out) throws InterruptedException {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(role), "stop"));
        out.println(role.readyLine());
        out.flush();
        // On a signal the shutdown hook ends the process; the latch is never counted down.
        new CountDownLatch(1).await();
    }

    private static void stop(RunningRole role) {
        try {
            role.stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
