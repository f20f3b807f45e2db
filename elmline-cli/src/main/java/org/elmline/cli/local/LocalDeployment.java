package org.elmline.cli.local;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Closer;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Region;
import org.elmline.core.common.ServiceName;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.Model;
import org.elmline.core.config.Organisation;
import org.elmline.core.config.Service;
import org.elmline.core.control.Ticket;
import org.elmline.core.control.TicketAnswer;
import org.elmline.daemon.control.ControlDaemon;
import org.elmline.daemon.control.ControlDataFolder;
import org.elmline.daemon.entry.EntryDaemon;
import org.elmline.daemon.http.BearerKey;
import org.elmline.daemon.settings.CallerSettings;
import org.elmline.daemon.settings.ControlAddresses;
import org.elmline.daemon.settings.ControlHost;
import org.elmline.daemon.settings.ControlKeys;
import org.elmline.daemon.settings.ControlSettings;
import org.elmline.daemon.settings.EntryAddresses;
import org.elmline.daemon.settings.EntryKeys;
import org.elmline.daemon.settings.EntrySettings;
import org.elmline.daemon.settings.ListenAddress;
import org.elmline.daemon.settings.Secret;
import org.elmline.standin.engine.EngineServer;
import org.elmline.standin.model.EngineProfile;
import org.elmline.standin.service.ServiceServer;

/**
 * Control hosts, entries and stand-ins in this process. The first ticket creates one model, one plain service and one
 * organisation; the deployment counts as started once that ticket is in force.
 */
public final class LocalDeployment implements AutoCloseable {
    public static final String MODEL = "elm-small";
    public static final String SERVICE = "booking";
    private static final String ORGANISATION = "local";
    private static final Region REGION = Region.of("local");
    private static final Duration START_TIMEOUT = Duration.ofSeconds(60);
    private static final long RETRY_DELAY_MILLIS = 20;
    private static final int MAX_PROMPT_TOKENS = 1_000_000;
    private static final int MAX_OUTPUT_TOKENS = 4_096;
    private static final long DEFAULT_KV_TOKENS = 500_000;
    private static final int SERVICE_TIMEOUT_MILLIS = 10_000;

    private final Closer closer = new Closer();
    private final Builder options;
    private final LocalKeys keys;
    private final List<ControlDaemon> controlHosts = new ArrayList<>();
    private final List<EntryDaemon> entries = new ArrayList<>();
    private final List<EngineServer> engines = new ArrayList<>();
    private ServiceServer service;

    private LocalDeployment(Builder options, LocalKeys keys) {
        this.options = options;
        this.keys = keys;
    }

    public static Builder builder() {
        return new Builder();
    }

    private void open() throws IOException, InterruptedException {
        List<ControlHost> configuredHosts = initialControlHosts();
        for (ControlHost each : configuredHosts) {
            ControlSettings settings = controlSettings(each, configuredHosts);
            if (controlHosts.isEmpty() && !Files.exists(settings.dataFolder())) {
                ControlDataFolder.bootstrap(settings);
            }
            controlHosts.add(closer.register(ControlDaemon.start(settings, this::close)));
        }
        for (int i = 0; i < options.entries; i++) {
            entries.add(closer.register(EntryDaemon.start(entrySettings(i, configuredHosts))));
        }
        for (int i = 0; i < options.engines; i++) {
            engines.add(closer.register(startEngine(i)));
        }
        ServiceServer.Builder builder = ServiceServer.builder()
                .id("booking-1")
                .incarnation(System.currentTimeMillis())
                .service(SERVICE)
                .region(REGION.value())
                .failureDomain(failureDomain(0).value())
                .backendKey(keys.backend());
        entries.forEach(each -> builder.announceTo(each.callers()));
        service = closer.register(builder.start());
        applyFirstTicket();
    }

    private List<ControlHost> initialControlHosts() throws IOException {
        List<ControlHost> configuredHosts = new ArrayList<>();
        for (int i = 0; i < options.controlHosts; i++) {
            Address peers = new Address("127.0.0.1", options.controlPort(i));
            configuredHosts.add(new ControlHost(HostId.of("control-" + (i + 1)), peers, failureDomain(i)));
        }
        return configuredHosts;
    }

    private ControlSettings controlSettings(ControlHost configuredHost, List<ControlHost> configuredHosts) {
        return ControlSettings.builder()
                .host(configuredHost.host())
                .region(REGION)
                .failureDomain(configuredHost.failureDomain())
                .dataFolder(options.dataFolder.resolve(configuredHost.host().value()))
                .addresses(new ControlAddresses(
                        ListenAddress.anyLoopbackPort(),
                        ListenAddress.loopback(configuredHost.peers().port())))
                .control(configuredHosts)
                .keys(new ControlKeys(Secret.of(keys.peer()), List.of(Secret.of(keys.operator()))))
                .build();
    }

    private EntrySettings entrySettings(int number, List<ControlHost> configuredHosts) {
        int callerPort = number == 0 ? options.callerPort : 0;
        int operatorPort = number == 0 ? options.operatorPort : 0;
        return EntrySettings.builder()
                .host(HostId.of("entry-" + (number + 1)))
                .region(REGION)
                .failureDomain(failureDomain(number))
                .addresses(new EntryAddresses(
                        ListenAddress.loopback(callerPort),
                        ListenAddress.loopback(operatorPort),
                        ListenAddress.anyLoopbackPort()))
                .control(configuredHosts)
                .keys(new EntryKeys(
                        Secret.of(keys.peer()),
                        List.of(Secret.of(keys.operator())),
                        List.of(Secret.of(keys.backend()))))
                .callers(new CallerSettings(
                        options.keepSeconds,
                        CallerSettings.DEFAULT.defaultTimeoutMillis(),
                        CallerSettings.DEFAULT.maxTimeoutMillis()))
                .build();
    }

    private EngineServer startEngine(int number) {
        EngineServer.Builder builder = EngineServer.builder()
                .id("engine-" + (number + 1))
                .incarnation(System.currentTimeMillis())
                .model(MODEL)
                .version("1")
                .region(REGION.value())
                .failureDomain(failureDomain(number).value())
                .timeScale(options.timeScale)
                .checksFencing(number < options.engines - options.enginesWithoutFencing)
                .profile(EngineProfile.builder()
                        .capacityKvTokens(options.engineKvTokens)
                        .build())
                .backendKey(keys.backend());
        entries.forEach(each -> builder.announceTo(each.callers()));
        return builder.start();
    }

    private static FailureDomain failureDomain(int number) {
        return FailureDomain.of("domain-" + (number % 3 + 1));
    }

    private void applyFirstTicket() throws IOException, InterruptedException {
        Model model = new Model(ModelName.of(MODEL), "1", List.of(), MAX_PROMPT_TOKENS, MAX_OUTPUT_TOKENS, 1, false);
        Service booking = new Service(ServiceName.of(SERVICE), List.of("GET", "HEAD"), SERVICE_TIMEOUT_MILLIS, false);
        Organisation organisation = new Organisation(
                OrganisationId.of(ORGANISATION), 1, 1, List.of(BearerKey.hash(keys.caller())), 0, 0, false);
        Ticket ticket = new Ticket(TicketNumber.of(1), "local", List.of(model, booking, organisation));
        long end = System.nanoTime() + START_TIMEOUT.toNanos();
        while (System.nanoTime() < end) {
            CallResult<TicketAnswer> answer =
                    entries.get(0).control().submit(ticket).join();
            if (isInForce(answer)) {
                return;
            }
            TimeUnit.MILLISECONDS.sleep(RETRY_DELAY_MILLIS);
        }
        throw new IOException("the first ticket was not in force within " + START_TIMEOUT.toSeconds() + " s");
    }

    /** On a data folder that holds later tickets, the first ticket is stale or superseded, which counts as well. */
    private static boolean isInForce(CallResult<TicketAnswer> answer) {
        return answer instanceof CallResult.Answered<TicketAnswer> answered
                && answered.value() instanceof TicketAnswer.Decided decided
                && decided.status().inForce();
    }

    public List<ControlDaemon> controlHosts() {
        return List.copyOf(controlHosts);
    }

    public List<EntryDaemon> entries() {
        return List.copyOf(entries);
    }

    public List<EngineServer> engines() {
        return List.copyOf(engines);
    }

    public ServiceServer service() {
        return service;
    }

    public String callerKey() {
        return keys.caller();
    }

    public String operatorKey() {
        return keys.operator();
    }

    public String backendKey() {
        return keys.backend();
    }

    @Override
    public void close() {
        closer.close();
    }

    /** Size and settings of the deployment; by default one control host, one entry and one engine. */
    public static final class Builder {
        private int controlHosts = 1;
        private int entries = 1;
        private int engines = 1;
        private int enginesWithoutFencing;
        private int callerPort;
        private int operatorPort;
        private int keepSeconds = CallerSettings.DEFAULT.keepSeconds();
        private double timeScale = 1;
        private long engineKvTokens = DEFAULT_KV_TOKENS;
        private Path dataFolder;

        private Builder() {}

        public Builder controlHosts(int value) {
            controlHosts = value;
            return this;
        }

        public Builder entries(int value) {
            entries = value;
            return this;
        }

        public Builder engines(int value) {
            engines = value;
            return this;
        }

        /** Number of engines that ignore fencing numbers; these are the last ones. */
        public Builder enginesWithoutFencing(int value) {
            enginesWithoutFencing = value;
            return this;
        }

        /** Port of the first entry for callers; 0 selects a free one. */
        public Builder callerPort(int value) {
            callerPort = value;
            return this;
        }

        /** Port of the first entry for operators; 0 selects a free one. */
        public Builder operatorPort(int value) {
            operatorPort = value;
            return this;
        }

        /**
         * Seconds for which callers keep the entry addresses that they received, and for which a stopping entry
         * therefore serves on.
         */
        public Builder keepSeconds(int value) {
            keepSeconds = value;
            return this;
        }

        /** Speed of the engines as a multiple of real time. */
        public Builder timeScale(double value) {
            timeScale = value;
            return this;
        }

        /** KV memory of each engine, in tokens. */
        public Builder engineKvTokens(long value) {
            engineKvTokens = value;
            return this;
        }

        /** Folder in which the control hosts keep their state; by default a new temporary one. */
        public Builder dataFolder(Path value) {
            dataFolder = value;
            return this;
        }

        /** Returns once the first ticket is in force. */
        public LocalDeployment start() throws IOException, InterruptedException {
            if (dataFolder == null) {
                dataFolder = Files.createTempDirectory("elmline-local");
            }
            LocalDeployment deployment = new LocalDeployment(this, LocalKeys.loadOrGenerate(dataFolder));
            try {
                deployment.open();
                return deployment;
            } catch (IOException | InterruptedException | RuntimeException e) {
                deployment.close();
                throw e;
            }
        }

        /** The peer port of a control host. It must stay the same over restarts, so it is stored in the data folder. */
        private int controlPort(int number) throws IOException {
            Path file = dataFolder.resolve("control-" + (number + 1) + ".port");
            if (Files.exists(file)) {
                return Integer.parseInt(Files.readString(file).trim());
            }
            Files.createDirectories(dataFolder);
            try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
                Files.writeString(file, Integer.toString(free.getLocalPort()));
                return free.getLocalPort();
            }
        }
    }
}
