package org.elmline.cli.role;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;

import org.elmline.core.common.Address;
import org.elmline.daemon.settings.StandinEngineSettings;
import org.elmline.standin.engine.EngineServer;
import org.elmline.standin.model.EngineProfile;
import picocli.CommandLine.Command;

/** Runs a model engine's stand-in. */
@Command(name = "engine", description = "Runs a model engine's stand-in, which answers in made-up words.")
final class StandinEngineCommand extends RoleCommand<StandinEngineSettings> {
    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final Duration RESTART_DELAY = Duration.ofSeconds(3);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);

    StandinEngineCommand() {
        super(StandinEngineSettings.class);
    }

    @Override
    RunningRole start(StandinEngineSettings settings) {
        AtomicReference<EngineServer> running = new AtomicReference<>();
        running.set(startEngine(settings, running));
        return new RunningRole() {
            @Override
            public String readyLine() {
                return "ready engine=http://" + running.get().address();
            }

            @Override
            public void stop() throws InterruptedException {
                running.get().leave(DRAIN_TIMEOUT);
            }
        };
    }

    /** Starts an engine that starts again, as a new incarnation, some seconds after a prompt has ended it. */
    private static EngineServer startEngine(StandinEngineSettings settings, AtomicReference<EngineServer> running) {
        EngineServer.Builder builder = EngineServer.builder()
                .id(settings.id().value())
                .incarnation(System.currentTimeMillis())
                .model(settings.model().value())
                .version(settings.version())
                .adapters(settings.adapters())
                .region(settings.region().value())
                .failureDomain(settings.failureDomain().value())
                .profile(EngineProfile.builder()
                        .capacityKvTokens(settings.kvTokens())
                        .prefillNanosPerToken((double) NANOS_PER_SECOND / settings.prefillTokensPerSecond())
                        .build())
                .checksFencing(settings.checksFencing())
                .port(settings.address().port())
                .backendKey(settings.backendKey().value());
        for (Address entry : settings.entries()) {
            builder.announceTo(entry);
        }
        return builder.onCrash(() -> {
                    sleepUntilRestart();
                    running.set(startEngine(settings, running));
                })
                .start();
    }

    /** Waits for the time after which a stand-in that has crashed starts again. */
    static void sleepUntilRestart() {
        try {
            Thread.sleep(RESTART_DELAY.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
