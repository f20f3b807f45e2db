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
import org.elmline.daemon.entry.SharedView;
import org.elmline.daemon.http.BearerKey;
import org.elmline.daemon.settings.CallerSettings;

/**
 * What every call of a caller passes first: the lease, the key, the time limit and the bound on calls at once. Counts
 * the calls inside, so that a stopping entry knows when the last one has its answer.
 */
public final class Gate {
    static final String TIMEOUT_HEADER = "Elmline-Timeout-Ms";
    private static final long RETRY_MILLIS = 500;

    private final HostIdentity self;
    private final SharedView view;
    private final MonotonicClock clock;
    private final CallerSettings settings;
    private final int maxConcurrent;
    private final AtomicLong nextRequest = new AtomicLong();
    private final AtomicInteger inside = new AtomicInteger();
    private volatile boolean closed;

    public Gate(
            HostIdentity self,
            SharedView view,
            MonotonicClock clock,
            CallerSettings settings,
            int maxConcurrent,
            MetricRegistry metrics) {
        this.self = self;
        this.view = view;
        this.clock = clock;
        this.settings = settings;
        this.maxConcurrent = maxConcurrent;
        metrics.gauge("entry.requests.open", () -> inside::get);
    }

    /** What the gate decides. */
    public sealed interface Passage {
        /** The call may go on; {@link Gate#leave()} must follow exactly once. */
        record Open(Admitted call) implements Passage {}

        /** The call ends here. */
        record Closed(Refusal refusal) implements Passage {}
    }

    public Passage enter(HttpServerExchange exchange) {
        Optional<Refusal> refused = standing();
        if (refused.isPresent()) {
            return new Passage.Closed(refused.get());
        }
        Optional<Organisation> organisation =
                BearerKey.of(exchange).flatMap(key -> view.configuration().organisationByKeyHash(BearerKey.hash(key)));
        if (organisation.isEmpty()) {
            return new Passage.Closed(
                    Refusal.didNotRun(RefusalReason.UNAUTHENTICATED, "no organisation has this API key"));
        }
        long timeout = timeoutMillis(exchange);
        if (timeout <= 0) {
            return new Passage.Closed(Refusal.didNotRun(
                    RefusalReason.BAD_REQUEST,
                    TIMEOUT_HEADER + " must be a whole number of milliseconds from 1 to "
                            + settings.maxTimeoutMillis()));
        }
        if (inside.incrementAndGet() > maxConcurrent) {
            inside.decrementAndGet();
            return new Passage.Closed(Refusal.comeBack(
                    RefusalReason.OVERLOADED, "this host serves as many calls as it may", RETRY_MILLIS));
        }
        long now = clock.nanos();
        return new Passage.Open(
                new Admitted(nextId(), organisation.get(), now, now + TimeUnit.MILLISECONDS.toNanos(timeout)));
    }

    /** Leaves with the end of the exchange: Undertow tells of every way out, a broken connection included. */
    public void leaveWith(HttpServerExchange exchange) {
        exchange.addExchangeCompleteListener((done, next) -> {
            leave();
            next.proceed();
        });
    }

    public void leave() {
        inside.decrementAndGet();
    }

    /** Refuses every further call; those inside go on. */
    public void close() {
        closed = true;
    }

    public int inside() {
        return inside.get();
    }

    private Optional<Refusal> standing() {
        if (closed) {
            return Optional.of(Refusal.comeBack(
                    RefusalReason.LEAVING, "this host is stopping; ask for entry hosts again", RETRY_MILLIS));
        }
        if (!view.mayServe()) {
            return Optional.of(Refusal.comeBack(
                    RefusalReason.NO_LEASE, "this host holds no lease; use another entry host", RETRY_MILLIS));
        }
        return Optional.empty();
    }

    /** The call's time limit; 0 when the header is unfit. */
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
