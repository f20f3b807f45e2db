package org.elmline.cli.role;

import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CancellationException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.cli.log.LogConfiguration;
import org.elmline.daemon.settings.Settings;
import org.jboss.logging.Logger;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Reads one settings file, starts the role it describes and runs it until SIGTERM or SIGINT. */
public abstract class RoleCommand<S extends Settings> implements ExitingCommand {
    private static final Logger LOG = Logger.getLogger(RoleCommand.class);

    /** Limit on the time for which a stop waits for the end of the start, which may wait for other hosts. */
    private static final long START_TIMEOUT_MILLIS = 5_000;

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
        run(() -> start(settings.get()), spec.commandLine().getOut());
        return ExitCode.OK;
    }

    /**
     * Starts a role, prints its ready line and blocks until the process is stopped. A stop that comes during the start
     * waits for its end: a role serves requests before it is ready.
     */
    public static void run(Callable<RunningRole> start, PrintWriter out) throws Exception {
        CompletableFuture<RunningRole> started = new CompletableFuture<>();
        Runtime.getRuntime().addShutdownHook(new Thread(() -> stop(started), "stop"));
        try {
            started.complete(start.call());
        } finally {
            // Without a role there is nothing to stop.
            started.cancel(false);
        }
        out.println(started.join().readyLine());
        out.flush();
        // On a signal the shutdown hook ends the process; the latch is never counted down.
        new CountDownLatch(1).await();
    }

    private static void stop(CompletableFuture<RunningRole> started) {
        try {
            started.get(START_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).stop();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | CancellationException e) {
            // The start has failed, which the command reports.
        } catch (TimeoutException e) {
            LOG.warnf("stopped during the start after %d ms", START_TIMEOUT_MILLIS);
        }
    }
}
