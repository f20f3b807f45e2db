package org.elmline.cli.role;

import java.io.IOException;

import org.elmline.daemon.entry.EntryDaemon;
import org.elmline.daemon.settings.EntrySettings;
import picocli.CommandLine.Command;

/** Runs an entry. */
@Command(name = "entry", description = "Runs an entry: answers callers, owns backend servers, serves operators.")
final class EntryCommand extends RoleCommand<EntrySettings> {
    EntryCommand() {
        super(EntrySettings.class);
    }

    @Override
    RunningRole start(EntrySettings settings) throws IOException {
        EntryDaemon daemon = EntryDaemon.start(settings);
        return new RunningRole() {
            @Override
            public String readyLine() {
                return "ready caller=http://" + daemon.callers() + " operator=http://" + daemon.operators();
            }

            @Override
            public void stop() throws InterruptedException {
                daemon.stop();
            }
        };
    }
}
