package org.elmline.cli.role;

import java.io.IOException;

import org.elmline.cli.ExitCode;
import org.elmline.daemon.control.ControlDaemon;
import org.elmline.daemon.settings.ControlSettings;
import picocli.CommandLine.Command;

/** Runs a control host. */
@Command(name = "run", description = "Runs a control host: a replica of tickets, leases and claims.")
final class ControlRunCommand extends RoleCommand<ControlSettings> {
    ControlRunCommand() {
        super(ControlSettings.class);
    }

    @Override
    RunningRole start(ControlSettings settings) throws IOException {
        ControlDaemon daemon = ControlDaemon.start(settings, ControlRunCommand::haltProcess);
        return new RunningRole() {
            @Override
            public String readyLine() {
                return "ready peers=" + daemon.peers() + " operator=http://" + daemon.operators();
            }

            @Override
            public void stop() throws InterruptedException {
                daemon.stop();
            }
        };
    }

    /**
     * Ends the process at once when its replica can't keep what it acknowledged, so that it doesn't appear to be alive.
     * The supervisor decides whether to restart it.
     */
    private static void haltProcess() {
        Runtime.getRuntime().halt(ExitCode.FAILED.code());
    }
}
