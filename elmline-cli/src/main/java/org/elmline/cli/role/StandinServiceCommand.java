package org.elmline.cli.role;

import java.time.Duration;

import org.elmline.core.common.Address;
import org.elmline.daemon.settings.StandinServiceSettings;
import org.elmline.standin.service.ServiceServer;
import picocli.CommandLine.Command;

/** Runs a plain service's stand-in. */
@Command(name = "service", description = "Runs a booking service's stand-in, which counts what ran.")
final class StandinServiceCommand extends RoleCommand<StandinServiceSettings> {
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);

    StandinServiceCommand() {
        super(StandinServiceSettings.class);
    }

    @Override
    RunningRole start(StandinServiceSettings settings) {
        ServiceServer.Builder builder = ServiceServer.builder()
                .id(settings.id().value())
                .incarnation(System.currentTimeMillis())
                .service(settings.service().value())
                .region(settings.region().value())
                .failureDomain(settings.failureDomain().value())
                .port(settings.address().port())
                .backendKey(settings.backendKey().value());
        for (Address entry : settings.entries()) {
            builder.announceTo(entry);
        }
        ServiceServer server = builder.start();
        return new RunningRole() {
            @Override
            public String readyLine() {
                return "ready service=http://" + server.address();
            }

            @Override
            public void stop() throws InterruptedException {
                server.leave(DRAIN_TIMEOUT);
            }
        };
    }
}
