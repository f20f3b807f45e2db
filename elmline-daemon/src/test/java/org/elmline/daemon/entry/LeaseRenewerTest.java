package org.elmline.daemon.entry;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ManualClock;
import org.elmline.core.common.Region;
import org.elmline.core.common.ServiceName;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.ConfigDelta;
import org.elmline.core.config.Service;
import org.elmline.core.config.VersionedObject;
import org.elmline.core.control.HostRecord;
import org.elmline.core.control.LeaseAnswer;
import org.elmline.core.control.MembersDelta;
import org.elmline.core.peer.Channel;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.timeline.Event;
import org.elmline.core.timeline.EventQuery;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.HybridClock;
import org.elmline.core.timeline.StampedEvent;
import org.elmline.core.timeline.TicketEvent;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class LeaseRenewerTest {
    private static final HostId HOST = HostId.of("e1");
    private static final Address ADDRESS = new Address("127.0.0.1", 1);

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final EventRing events = new EventRing(HOST, Incarnation.of(1), new HybridClock(() -> 0), () -> 0, 64);

    @AfterEach
    void stop() {
        timer.shutdownNow();
    }

    /**
     * A ticket of two objects reaches an entry, and the control host sends the same change twice because the
     * acknowledgement was late. The time line must record once that this entry follows the ticket: with one event per
     * object and answer, a ticket of 1,400 organisations would evict all other events from the ring.
     */
    @Test
    void recordsOneFollowedEventPerTicket() {
        ManualClock clock = new ManualClock();
        LeasedView view = new LeasedView(clock);
        ControlClient control = new ControlClient(new GrantingNetwork(), clock, timer, List.of(ADDRESS));
        LeaseRenewer renewer = new LeaseRenewer(
                control,
                view,
                clock,
                LeaseRenewerTest::host,
                Duration.ofSeconds(1),
                new MetricRegistry(),
                events,
                () -> {});
        renewer.renew().join();
        renewer.renew().join();
        Event followed = new TicketEvent.Followed(TicketNumber.of(7), ConfigVersion.of(3));
        assertEquals(
                List.of(followed),
                events.page(EventQuery.all()).events().stream()
                        .map(StampedEvent::event)
                        .toList());
    }

    private static HostRecord host() {
        return new HostRecord(
                HOST, Incarnation.of(1), FailureDomain.of("a"), Region.of("r"), ADDRESS, ADDRESS, ADDRESS, false);
    }

    private static VersionedObject object(String service) {
        Service object = new Service(ServiceName.of(service), List.of("GET"), 5, false);
        return new VersionedObject(object, TicketNumber.of(7), ConfigVersion.of(3));
    }

    /** A leader that grants every renewal and sends the same change each time. */
    private static final class GrantingNetwork implements PeerNetwork {
        @Override
        public <Q> boolean send(Address to, Channel<Q, ?> channel, Q message) {
            throw new UnsupportedOperationException("only calls are expected");
        }

        @Override
        public <Q, R> CompletableFuture<CallResult<R>> call(
                Address to, Channel<Q, R> channel, Q request, Duration timeout) {
            ConfigDelta config = new ConfigDelta(
                    ConfigVersion.of(0), ConfigVersion.of(3), List.of(object("booking"), object("desk")));
            LeaseAnswer granted = new LeaseAnswer.Granted(
                    3_000, config, new MembersDelta(0, 0, false, List.of(), List.of()), List.of(ADDRESS));
            return CompletableFuture.completedFuture(
                    new CallResult.Answered<>(channel.response().cast(granted)));
        }
    }
}
