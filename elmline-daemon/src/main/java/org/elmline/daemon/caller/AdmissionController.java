package org.elmline.daemon.caller;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import com.codahale.metrics.MetricRegistry;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.RequestId;
import org.elmline.core.config.Organisation;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.LeasedView;
import org.elmline.daemon.http.BearerKey;
import org.elmline.daemon.settings.CallerSettings;

/**
 * Admits the calls of callers: checks the lease, the API key, the time limit and the bound on concurrent calls. Counts
 * the calls in flight, so that a stopping entry can wait until the last one is answered. Thread-safe.
 */
public final class AdmissionController {
    static final String TIMEOUT_HEADER = "Elmline-Timeout-Ms";
    private static final long RETRY_AFTER_MILLIS = 500;

    private final HostIdentity self;
    private final LeasedView leasedView;
    private final MonotonicClock clock;
    private final CallerSettings settings;
    private final int maxConcurrent;
    private final AtomicLong nextRequest = new AtomicLong();
    private final AtomicInteger inFlight = new AtomicInteger();
    private volatile boolean admissionStopped;

    public AdmissionController(
            HostIdentity self,
            LeasedView leasedView,
            MonotonicClock clock,
            CallerSettings settings,
            int maxConcurrent,
            MetricRegistry metrics) {
        this.self = self;
        this.leasedView = leasedView;
        this.clock = clock;
        this.settings = settings;
        this.maxConcurrent = maxConcurrent;
        metrics.gauge("entry.requests.open", () -> inFlight::get);
    }

    /** Result of admission. */
    public sealed interface Admission {
        /** The call is admitted; {@link AdmissionController#release()} must follow exactly once. */
        record Admitted(AdmittedCall call) implements Admission {}

        /** The call is refused. */
        record Refused(Refusal refusal) implements Admission {}
    }

    public Admission admit(HttpServerExchange exchange) {
        Optional<Refusal> refused = hostRefusal();
        if (refused.isPresent()) {
            return new Admission.Refused(refused.get());
        }
        Optional<Organisation> organisation = BearerKey.of(exchange)
                .flatMap(key -> leasedView.configuration().organisationByKeyHash(BearerKey.hash(key)));
        if (organisation.isEmpty()) {
            return new Admission.Refused(
                    Refusal.didNotRun(RefusalReason.UNAUTHENTICATED, "no organisation has this API key"));
        }
        long timeout = timeoutMillis(exchange);
        if (timeout <= 0) {
            return new Admission.Refused(Refusal.didNotRun(
                    RefusalReason.BAD_REQUEST,
                    TIMEOUT_HEADER + " must be a whole number of milliseconds from 1 to "
                            + settings.maxTimeoutMillis()));
        }
        if (inFlight.incrementAndGet() > maxConcurrent) {
            inFlight.decrementAndGet();
            return new Admission.Refused(Refusal.retryLater(
                    RefusalReason.OVERLOADED, "this host serves as many calls as it may", RETRY_AFTER_MILLIS));
        }
        long now = clock.nanos();
        return new Admission.Admitted(
                new AdmittedCall(nextId(), organisation.get(), now, now + TimeUnit.MILLISECONDS.toNanos(timeout)));
    }

    /**
     * Releases the call when its exchange completes: Undertow notifies the listener on every completion, a broken
     * connection included.
     */
    public void releaseOnCompletion(HttpServerExchange exchange) {
        exchange.addExchangeCompleteListener((done, next) -> {
            release();
            next.proceed();
        });
    }

    public void release() {
        inFlight.decrementAndGet();
    }

    /** Refuses every further call; calls in flight continue. */
    public void stopAdmission() {
        admissionStopped = true;
    }

    public int inFlight() {
        return inFlight.get();
    }

    private Optional<Refusal> hostRefusal() {
        if (admissionStopped) {
            return Optional.of(Refusal.retryLater(
                    RefusalReason.LEAVING, "this host is stopping; ask for entry hosts again", RETRY_AFTER_MILLIS));
        }
        if (!leasedView.mayServe()) {
            return Optional.of(Refusal.retryLater(
                    RefusalReason.NO_LEASE, "this host holds no lease; use another entry host", RETRY_AFTER_MILLIS));
        }
        return Optional.empty();
    }

    /** The call's time limit in milliseconds; 0 when the header is invalid. */
    private long timeoutMillis(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(TIMEOUT_HEADER);
        if (header == null) {
            return settings.defaultTimeoutMillis();
        }
        try {
            long millis = Long.parseLong(header.trim());
            return millis >= 1 && millis <= settings.maxTimeoutMillis() ? millis : 0;
        } catch (NumberFormatException e) {
            return 0;
        }
    }

    private RequestId nextId() {
        return RequestId.of(self.host() + "-" + Long.toString(self.incarnation().value(), 36) + "-"
                + nextRequest.incrementAndGet());
    }
}
