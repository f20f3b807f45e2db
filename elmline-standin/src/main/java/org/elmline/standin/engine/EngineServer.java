package org.elmline.standin.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.server.HttpHandler;
import io.undertow.util.Methods;
import okhttp3.OkHttpClient;
import org.elmline.core.backend.Announcement;
import org.elmline.core.backend.BackendKind;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.Region;
import org.elmline.core.engine.EngineState;
import org.elmline.standin.Announcer;
import org.elmline.standin.ColdRequestHandler;
import org.elmline.standin.StandinHttpServer;
import org.elmline.standin.model.EngineProfile;
import org.jboss.logging.Logger;

/**
 * Stand-in model engine for tests, demonstrations and load tests: serves the answers of {@link
 * org.elmline.standin.AnswerText} over HTTP at the speed of the engine model. {@link #close()} stops it as a crash
 * does, {@link #leave} gracefully. Thread-safe.
 */
public final class EngineServer implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(EngineServer.class);
    private static final String PROTOCOL = "standin";
    private static final Duration LEAVE_ANNOUNCE_TIMEOUT = Duration.ofSeconds(5);
    private static final long LEAVE_POLL_MILLIS = 20;
    private static final double NANOS_PER_SECOND = 1e9;

    private final EngineSettings settings;
    private final EngineFaults faults = new EngineFaults();
    private final Engine engine;
    private final StandinHttpServer http;
    private final OkHttpClient importClient;
    private final Announcer announcer;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile boolean leaving;

    private EngineServer(EngineSettings settings) {
        this.settings = settings;
        long start = System.nanoTime();
        engine = new Engine(settings, faults, () -> (long) ((System.nanoTime() - start) * settings.timeScale()));
        importClient =
                new OkHttpClient.Builder().callTimeout(Duration.ofSeconds(5)).build();
        faults.cold().set(settings.coldNanos() / NANOS_PER_SECOND, settings.coldPerSecond());
        HttpHandler routes = new EngineRoutes(engine, faults, importClient, () -> crash("a prompt")).handler();
        // Orders, prefills and generations are posted; the other requests take no work.
        http = new StandinHttpServer(
                settings.port(),
                new ColdRequestHandler(
                        faults.cold(),
                        exchange -> exchange.getRequestMethod().equals(Methods.POST),
                        () -> crash("requests while it is cold"),
                        routes));
        announcer = new Announcer(settings.announceTo(), settings.backendKey(), this::announcement);
        announcer.start();
        LOG.infof("engine %s serves on %s", settings.id(), http.address());
    }

    public static Builder builder() {
        return new Builder();
    }

    public Address address() {
        return http.address();
    }

    public BackendServerId id() {
        return settings.id();
    }

    /** Whether the engine has ended. */
    public boolean isClosed() {
        return closed.get();
    }

    public EngineFaults faults() {
        return faults;
    }

    /** Number of streams that hold memory, without the delay of load reports. */
    public int openStreams() {
        return engine.openStreams();
    }

    /** KV tokens in use, not counting evictable blocks of the prefix cache. */
    public long usedKvTokens() {
        return engine.usedKvTokens();
    }

    /** Ends on a thread of its own, as closing waits for the threads that handle requests. */
    private void crash(String cause) {
        LOG.infof("engine %s ends because of %s", settings.id(), cause);
        Thread thread = new Thread(
                () -> {
                    close();
                    settings.onCrash().run();
                },
                "crash");
        thread.setDaemon(true);
        thread.start();
    }

    /** The announcement for the current state. */
    public Announcement announcement() {
        EngineState state = engine.state();
        long prefillTokensPerSecond = (long) (settings.profile().prefillTokensPerSecond() * settings.timeScale());
        return new Announcement(
                settings.id(),
                settings.incarnation(),
                BackendKind.ENGINE,
                PROTOCOL,
                http.address(),
                settings.failureDomain(),
                settings.region(),
                List.of(state.model().value()),
                List.of(state.version()),
                state.adapters(),
                state.role(),
                settings.profile().capacityKvTokens(),
                prefillTokensPerSecond,
                engine.load(),
                settings.checksFencing(),
                leaving || !state.ready());
    }

    /** What the engine is ordered to serve, and whether it is ready. */
    public EngineState state() {
        return engine.state();
    }

    /**
     * Announces that it is leaving, waits for open streams up to the limit, and closes; true when no stream was cut
     * off.
     */
    public boolean leave(Duration limit) throws InterruptedException {
        leaving = true;
        announcer.announceNow(LEAVE_ANNOUNCE_TIMEOUT);
        long deadline = System.nanoTime() + limit.toNanos();
        while (engine.openStreams() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(LEAVE_POLL_MILLIS);
        }
        boolean clean = engine.openStreams() == 0;
        close();
        return clean;
    }

    @Override
    public void close() {
        if (!closed.compareAndSet(false, true)) {
            return;
        }
        announcer.close();
        engine.close();
        http.close();
        importClient.dispatcher().executorService().shutdown();
        importClient.connectionPool().evictAll();
    }

    /** Builds an engine; only id and model have no default. Times are in the engine's own, scaled time. */
    public static final class Builder {
        private BackendServerId id;
        private ModelName model;
        private Incarnation incarnation = Incarnation.of(System.currentTimeMillis());
        private FailureDomain failureDomain = FailureDomain.of("local-a");
        private Region region = Region.of("local");
        private String version = "1";
        private List<String> adapters = List.of();
        private String role = "";
        private EngineProfile profile = EngineProfile.builder().build();
        private double timeScale = 1;
        private Duration retention = Duration.ofMinutes(10);
        private Duration weightLoad = Duration.ofSeconds(5);
        private Duration loadReportDelay = Duration.ofSeconds(1);
        private Duration cacheEventDelay = Duration.ofMillis(500);
        private double cacheEventLossRate;
        private double importedShare = 1.0 / 16;
        private boolean checksFencing = true;
        private long seed = 1;
        private int port;
        private final List<Address> announceTo = new ArrayList<>();
        private String backendKey = "";
        private Duration coldTime = Duration.ZERO;
        private double coldPerSecond;
        private Runnable onCrash = () -> {};

        private Builder() {}

        /** Makes the engine cold after its start, for a time in which it takes only some requests a second. */
        public Builder coldStart(Duration value, double requestsPerSecond) {
            coldTime = value;
            coldPerSecond = requestsPerSecond;
            return this;
        }

        /** What is done after the engine has ended because of a prompt or of requests while cold; nothing by default. */
        public Builder onCrash(Runnable value) {
            onCrash = value;
            return this;
        }

        public Builder id(String value) {
            id = BackendServerId.of(value);
            return this;
        }

        public Builder incarnation(long value) {
            incarnation = Incarnation.of(value);
            return this;
        }

        public Builder model(String value) {
            model = ModelName.of(value);
            return this;
        }

        public Builder version(String value) {
            version = value;
            return this;
        }

        public Builder adapters(List<String> value) {
            adapters = List.copyOf(value);
            return this;
        }

        public Builder role(String value) {
            role = value;
            return this;
        }

        public Builder failureDomain(String value) {
            failureDomain = FailureDomain.of(value);
            return this;
        }

        public Builder region(String value) {
            region = Region.of(value);
            return this;
        }

        public Builder profile(EngineProfile value) {
            profile = value;
            return this;
        }

        /** Speed of the engine's time relative to real time, above 0. */
        public Builder timeScale(double value) {
            timeScale = value;
            return this;
        }

        /** How long a finished stream keeps its memory when no reader has received its end. */
        public Builder retention(Duration value) {
            retention = value;
            return this;
        }

        /** How long an ordered model, version or adapter takes to load. */
        public Builder weightLoad(Duration value) {
            weightLoad = value;
            return this;
        }

        public Builder loadReportDelay(Duration value) {
            loadReportDelay = value;
            return this;
        }

        public Builder cacheEventDelay(Duration value) {
            cacheEventDelay = value;
            return this;
        }

        /** Share of cache events that are never published, 0 to 1. */
        public Builder cacheEventLossRate(double value) {
            cacheEventLossRate = value;
            return this;
        }

        /** Memory that an imported segment takes on this engine, as a share of its tokens. */
        public Builder importedShare(double value) {
            importedShare = value;
            return this;
        }

        /** Whether orders with a stale fencing number are rejected. */
        public Builder checksFencing(boolean value) {
            checksFencing = value;
            return this;
        }

        public Builder seed(long value) {
            seed = value;
            return this;
        }

        /** 0 selects a free port. */
        public Builder port(int value) {
            port = value;
            return this;
        }

        public Builder announceTo(Address entry) {
            announceTo.add(entry);
            return this;
        }

        public Builder backendKey(String value) {
            backendKey = value;
            return this;
        }

        public EngineServer start() {
            if (id == null || model == null || timeScale <= 0) {
                throw new IllegalArgumentException("an engine needs an id, a model and a time scale above 0");
            }
            EngineState state = new EngineState(model, version, adapters, role, true);
            return new EngineServer(new EngineSettings(
                    id,
                    incarnation,
                    failureDomain,
                    region,
                    state,
                    profile,
                    timeScale,
                    retention.toNanos(),
                    weightLoad.toNanos(),
                    loadReportDelay.toNanos(),
                    cacheEventDelay.toNanos(),
                    cacheEventLossRate,
                    importedShare,
                    checksFencing,
                    seed,
                    port,
                    List.copyOf(announceTo),
                    backendKey,
                    coldTime.toNanos(),
                    coldPerSecond,
                    onCrash));
        }
    }
}
