package org.elmline.cli.role;

import java.io.IOException;

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
        ControlDaemon daemon = ControlDaemon.start(settings);
        return new RunningRole() {
            @Override
            public String readyLine() {
                return "ready peers=" + daemon.peers();
            }

            @Override
            public void stop() {
                daemon.close();
            }
        };
    }
}
