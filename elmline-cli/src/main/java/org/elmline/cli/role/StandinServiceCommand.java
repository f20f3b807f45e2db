package org.elmline.cli.role;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

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
        AtomicReference<ServiceServer> running = new AtomicReference<>();
        running.set(startService(settings, running));
        return new RunningRole() {
            @Override
            public String readyLine() {
                return "ready service=http://" + running.get().address();
            }

            @Override
            public void stop() throws InterruptedException {
                running.get().leave(DRAIN_TIMEOUT);
            }
        };
    }

    /** Starts a service that starts again, as a new incarnation, some seconds after requests have ended it. */
    private static ServiceServer startService(StandinServiceSettings settings, AtomicReference<ServiceServer> running) {
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
        return builder.onCrash(() -> {
                    StandinEngineCommand.sleepUntilRestart();
                    running.set(startService(settings, running));
                })
                .start();
    }
}
