package org.elmline.core.timeline;

import java.util.ArrayList;
import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.RequestId;
import org.elmline.core.common.TicketNumber;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EventRingTest {
    private static final long START = 1_800_000_000_000L;

    /** Compares the ring with a list of all events, cut to the latest ones. */
    @Property(seed = "4712", tries = 200)
    void keepsLatestEventsUpToCapacity(
            @ForAll @IntRange(min = 1, max = 20) int capacity,
            @ForAll @IntRange(min = 0, max = 60) int events,
            @ForAll @IntRange(min = 1, max = 30) int limit) {
        EventRing ring = ring("a", capacity, 0);
        List<Event> recorded = new ArrayList<>();
        for (int i = 0; i < events; i++) {
            Event event = finished("r" + i % 3, i);
            ring.record(event);
            recorded.add(event);
        }
        List<Event> kept = recorded.subList(Math.max(0, events - capacity), events);
        EventPage page = ring.page(EventQuery.builder().limit(limit).build());
        assertEquals(kept.subList(Math.max(0, kept.size() - limit), kept.size()), events(page.events()));
        assertEquals(Math.max(0, events - capacity), page.dropped());

        RequestId request = RequestId.of("r1");
        List<Event> ofRequest = new ArrayList<>(kept);
        ofRequest.removeIf(event -> !((RequestEvent) event).request().equals(request));
        EventQuery query = EventQuery.builder().request(request).build();
        assertEquals(ofRequest, events(ring.page(query).events()));
    }

    @Test
    void concurrentRecordingLosesNoEventWithinCapacity() throws InterruptedException {
        int threads = 4;
        int each = 2_000;
        EventRing ring = ring("a", threads * each, 0);
        List<Thread> running = new ArrayList<>();
        for (int i = 0; i < threads; i++) {
            String name = "r" + i;
            Thread thread = new Thread(() -> {
                for (int n = 0; n < each; n++) {
                    ring.record(finished(name, n));
                }
            });
            thread.start();
            running.add(thread);
        }
        for (Thread thread : running) {
            thread.join();
        }
        EventQuery all = EventQuery.builder().limit(EventQuery.MAX_LIMIT).build();
        List<StampedEvent> kept = ring.page(all).events();
        assertEquals(threads * each, kept.size());
        assertEquals(
                threads * each, kept.stream().map(StampedEvent::time).distinct().count());
        assertEquals(0, ring.dropped());
    }

    /**
     * Guards against a time line that shows an effect before its cause. A control host whose clock is 40 ms ahead
     * accepts ticket 7 and notifies an entry whose clock is right. Ordered by wall clock, the entry would follow the
     * ticket before its acceptance; merged by hybrid time, the acceptance comes first.
     */
    @Test
    void mergeOrdersCausesFirstAndRemovesDuplicates() {
        EventRing control = ring("control", 10, 40);
        HybridClock entryClock = new HybridClock(() -> START);
        EventRing entry = new EventRing(HostId.of("entry"), Incarnation.of(1), entryClock, () -> START, 10);
        entry.record(finished("r1", 1));
        control.record(new TicketEvent.Accepted(TicketNumber.of(7), ConfigVersion.of(1)));
        EventPage controlPage = control.page(EventQuery.all());
        entryClock.merge(controlPage.events().get(0).time());
        entry.record(new TicketEvent.Followed(TicketNumber.of(7), ConfigVersion.of(1)));
        EventPage entryPage = entry.page(EventQuery.all());

        EventQuery ofTicket = EventQuery.builder().ticket(TicketNumber.of(7)).build();
        List<StampedEvent> merged = TimelineMerge.merge(List.of(entryPage, controlPage, entryPage), ofTicket);
        assertEquals(2, merged.size());
        assertTrue(merged.get(0).event() instanceof TicketEvent.Accepted, merged::toString);
        assertTrue(merged.get(0).wallMillis() > merged.get(1).wallMillis(), "the wall clocks give the opposite order");
        EventQuery ofHost =
                EventQuery.builder().host(HostId.of("entry")).limit(1).build();
        List<StampedEvent> last = TimelineMerge.merge(List.of(entryPage, controlPage), ofHost);
        assertTrue(last.get(0).event() instanceof TicketEvent.Followed, last::toString);
        assertTrue(
                EventText.format(last.get(0)).startsWith("2027-01-15 08:00:00.000  1800000000040."),
                EventText.format(last.get(0)));
    }

    private static EventRing ring(String host, int capacity, int skewMillis) {
        WallClock wall = () -> START + skewMillis;
        return new EventRing(HostId.of(host), Incarnation.of(1), new HybridClock(wall), wall, capacity);
    }

    private static Event finished(String request, int tokens) {
        return new RequestEvent.Finished(RequestId.of(request), tokens);
    }

    private static List<Event> events(List<StampedEvent> stamped) {
        return stamped.stream().map(StampedEvent::event).toList();
    }
}
