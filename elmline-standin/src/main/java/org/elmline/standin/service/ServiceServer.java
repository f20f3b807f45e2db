package org.elmline.standin.service;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.Handlers;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import org.elmline.core.backend.Announcement;
import org.elmline.core.backend.BackendKind;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;
import org.elmline.core.common.ServiceName;
import org.elmline.core.engine.EngineLoad;
import org.elmline.standin.Announcer;
import org.elmline.standin.ColdRequestHandler;
import org.elmline.standin.StandinHttpResponses;
import org.elmline.standin.StandinHttpServer;
import org.elmline.wire.engine.EngineJson;
import org.elmline.wire.engine.EnginePaths;
import org.xnio.IoUtils;

/**
 * Stand-in booking service without deduplication: {@code GET /seats/{id}} and {@code GET /schedule} are idempotent,
 * {@code POST /seats/{id}/hold} and {@code POST /fees} aren't, and {@code GET /runs} returns how often each of the
 * latter ran and how many of them were received. {@link #close()} stops it as a crash does, {@link #leave} gracefully. Thread-safe.
 */
public final class ServiceServer implements AutoCloseable {
    private static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    private static final HttpString RAN = new HttpString(EnginePaths.RAN_HEADER);
    private static final HttpString LEAVING = new HttpString(EnginePaths.LEAVING_HEADER);
    private static final HttpString RETRY_AFTER = new HttpString(EnginePaths.RETRY_AFTER_HEADER);
    private static final Duration LEAVE_ANNOUNCE_TIMEOUT = Duration.ofSeconds(5);
    private static final long LEAVE_POLL_MILLIS = 20;
    private static final String RUNS_PATH = "/runs";
    private static final String FAULTS_PATH = "/standin/faults";
    private static final double NANOS_PER_SECOND = 1e9;

    /** Time that a call takes longer while the service is cold, in milliseconds. */
    private static final long COLD_DELAY_MILLIS = 50;

    private final Builder settings;
    private final ServiceFaults faults = new ServiceFaults();
    private final RunCounts runs = new RunCounts();
    private final AtomicInteger inFlight = new AtomicInteger();
    private final AtomicInteger refusals = new AtomicInteger();
    private final AtomicInteger received = new AtomicInteger();
    private final AtomicBoolean closed = new AtomicBoolean();
    private final StandinHttpServer http;
    private final Announcer announcer;
    private volatile boolean leaving;

    private ServiceServer(Builder settings) {
        this.settings = settings;
        faults.cold().set(settings.coldTime.toNanos() / NANOS_PER_SECOND, settings.coldPerSecond);
        http = new StandinHttpServer(
                settings.port, new ColdRequestHandler(faults.cold(), ServiceServer::isWork, this::crash, handler()));
        announcer = new Announcer(settings.announceTo, settings.backendKey, this::announcement);
        announcer.start();
    }

    public static Builder builder() {
        return new Builder();
    }

    public Address address() {
        return http.address();
    }

    public BackendServerId id() {
        return settings.id;
    }

    /** Whether the service has ended. */
    public boolean isClosed() {
        return closed.get();
    }

    public ServiceFaults faults() {
        return faults;
    }

    /** Number of calls that were refused before anything ran. */
    public int refusals() {
        return refusals.get();
    }

    /** Counts of the runs of each state-changing call. */
    public RunCounts runs() {
        return runs;
    }

    public Announcement announcement() {
        return new Announcement(
                settings.id,
                settings.incarnation,
                BackendKind.SERVICE,
                "",
                http.address(),
                settings.failureDomain,
                settings.region,
                List.of(settings.service.value()),
                List.of("1"),
                List.of(),
                "",
                0,
                0,
                new EngineLoad(inFlight.get(), 0, 0),
                false,
                leaving);
    }

    /**
     * Announces that it is leaving, waits for calls in flight up to the limit, and closes; true when no call was cut
     * off.
     */
    public boolean leave(Duration limit) throws InterruptedException {
        leaving = true;
        announcer.announceNow(LEAVE_ANNOUNCE_TIMEOUT);
        long deadline = System.nanoTime() + limit.toNanos();
        while (inFlight.get() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(LEAVE_POLL_MILLIS);
        }
        boolean clean = inFlight.get() == 0;
        close();
        return clean;
    }

    @Override
    public void close() {
        if (closed.compareAndSet(false, true)) {
            announcer.close();
            http.close();
        }
    }

    private HttpHandler handler() {
        return Handlers.routing()
                .get("/schedule", onWorker(this::handleSchedule))
                .get("/seats/{seat}", onWorker(this::handleSeat))
                .post("/seats/{seat}/hold", onWorker(this::handleMutation))
                .post("/fees", onWorker(this::handleMutation))
                .get(RUNS_PATH, exchange -> StandinHttpResponses.send(exchange, new Runs(runs.runs(), received.get())))
                .put(FAULTS_PATH, this::setFaults);
    }

    private static boolean isWork(HttpServerExchange exchange) {
        String path = exchange.getRequestPath();
        return !path.equals(RUNS_PATH) && !path.equals(FAULTS_PATH);
    }

    /** Ends on a thread of its own, as closing waits for the threads that handle requests. */
    private void crash() {
        Thread thread = new Thread(
                () -> {
                    close();
                    settings.onCrash.run();
                },
                "crash");
        thread.setDaemon(true);
        thread.start();
    }

    /**
     * The runs so far.
     *
     * @param received number of state-changing calls that were read completely, whether or not they have run
     */
    private record Runs(List<RunCounts.Run> runs, int received) {}

    /** The available seats, always the same. */
    private record Schedule(List<String> seats) {
        static Schedule today() {
            return new Schedule(List.of("a1", "a2", "b1", "b2"));
        }
    }

    private record Seat(String seat) {}

    private HttpHandler onWorker(HttpHandler handler) {
        return exchange -> exchange.dispatch((HttpHandler) dispatched -> {
            inFlight.incrementAndGet();
            if (leaving) {
                dispatched.getResponseHeaders().put(LEAVING, "yes");
            }
            try {
                dispatched.startBlocking();
                handler.handleRequest(dispatched);
            } finally {
                inFlight.decrementAndGet();
            }
        });
    }

    private void delay() throws InterruptedException {
        Thread.sleep(faults.delayMillis() + (faults.cold().leftMillis() > 0 ? COLD_DELAY_MILLIS : 0));
    }

    private void handleSchedule(HttpServerExchange exchange) throws InterruptedException {
        delay();
        StandinHttpResponses.send(exchange, Schedule.today());
    }

    private void handleSeat(HttpServerExchange exchange) throws InterruptedException {
        delay();
        StandinHttpResponses.send(exchange, new Seat(StandinHttpResponses.queryParameter(exchange, "seat")));
    }

    private void handleMutation(HttpServerExchange exchange) throws IOException, InterruptedException {
        String body = new String(exchange.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        received.incrementAndGet();
        delay();
        if (faults.mode() == ServiceFaults.Mode.FAIL_BEFORE_RUNNING) {
            refusals.incrementAndGet();
            exchange.getResponseHeaders().put(RAN, "no");
            if (faults.retryAfterSeconds() > 0) {
                exchange.getResponseHeaders().put(RETRY_AFTER, faults.retryAfterSeconds());
            }
            StandinHttpResponses.sendProblem(exchange, 503, "refused before running");
            return;
        }
        String key = exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY);
        String keyOrNone = key == null ? "" : key;
        int count = runs.recordRun(keyOrNone, exchange.getRequestPath(), body);
        if (faults.mode() == ServiceFaults.Mode.DROP_ANSWER) {
            IoUtils.safeClose(exchange.getConnection());
            return;
        }
        StandinHttpResponses.send(exchange, new RunCounts.Run(keyOrNone, exchange.getRequestPath(), body, count));
    }

    private void setFaults(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((received, bytes) -> {
            try {
                faults.apply(EngineJson.read(bytes, ServiceFaults.Settings.class));
                StandinHttpResponses.send(received, true);
            } catch (IOException | IllegalArgumentException e) {
                StandinHttpResponses.sendProblem(received, 400, "not fault settings");
            }
        });
    }

    /** Builds a service; only the id has no default. */
    public static final class Builder {
        private BackendServerId id;
        private ServiceName service = ServiceName.of("booking");
        private Incarnation incarnation = Incarnation.of(System.currentTimeMillis());
        private FailureDomain failureDomain = FailureDomain.of("local-a");
        private Region region = Region.of("local");
        private int port;
        private final List<Address> announceTo = new ArrayList<>();
        private String backendKey = "";
        private Duration coldTime = Duration.ZERO;
        private double coldPerSecond;
        private Runnable onCrash = () -> {};

        private Builder() {}

        /** Makes the service cold after its start, for a time in which it takes only some requests a second. */
        public Builder coldStart(Duration value, double requestsPerSecond) {
            coldTime = value;
            coldPerSecond = requestsPerSecond;
            return this;
        }

        /** What is done after the service has ended because of requests while it was cold; nothing by default. */
        public Builder onCrash(Runnable value) {
            onCrash = value;
            return this;
        }

        public Builder id(String value) {
            id = BackendServerId.of(value);
            return this;
        }

        public Builder service(String value) {
            service = ServiceName.of(value);
            return this;
        }

        public Builder incarnation(long value) {
            incarnation = Incarnation.of(value);
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

        public ServiceServer start() {
            if (id == null) {
                throw new IllegalArgumentException("a service needs an id");
            }
            return new ServiceServer(this);
        }
    }
}
