package org.elmline.core.fairness;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.ConfigDelta;
import org.elmline.core.config.Configuration;
import org.elmline.core.config.Organisation;
import org.elmline.core.config.VersionedObject;
import org.elmline.core.owner.OwnerFixture;
import org.elmline.core.owner.OwnerSettings;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.ReleaseCause;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class FairnessTest {
    private static final long SECOND = 1_000_000_000L;
    private static final int MAX_REQUEST_TOKENS = 5_000;

    /**
     * Organisations with weights 1 to 4 always have requests queued. At any time the served tokens per weight of two of
     * them differ by no more than one longest request of each, divided by its weight.
     */
    @Property(tries = 100, seed = "5006")
    void sharesUnderContentionStayWithinOneRequestEach(@ForAll long seed) {
        Random random = new Random(seed);
        VirtualCounters counters = new VirtualCounters();
        int organisations = 4;
        double[] starts = new double[organisations];
        long[] tokens = new long[organisations];
        double[] served = new double[organisations];
        for (int i = 0; i < organisations; i++) {
            tokens[i] = 1 + random.nextInt(MAX_REQUEST_TOKENS);
            starts[i] = counters.charge(id(i), i + 1, tokens[i]);
        }
        for (int step = 0; step < 500; step++) {
            int next = 0;
            for (int i = 1; i < organisations; i++) {
                next = starts[i] < starts[next] ? i : next;
            }
            counters.recordServed(starts[next]);
            served[next] += (double) tokens[next] / (next + 1);
            tokens[next] = 1 + random.nextInt(MAX_REQUEST_TOKENS);
            starts[next] = counters.charge(id(next), next + 1, tokens[next]);
            for (int i = 1; i < organisations; i++) {
                double bound = MAX_REQUEST_TOKENS + (double) MAX_REQUEST_TOKENS / (i + 1);
                assertTrue(Math.abs(served[0] - served[i]) <= bound, "organisations 0 and " + i);
            }
        }
    }

    @Test
    void idleOrganisationGainsNoCredit() {
        VirtualCounters counters = new VirtualCounters();
        for (int i = 0; i < 100; i++) {
            counters.recordServed(counters.charge(id(1), 1, 1_000));
        }
        assertTrue(
                counters.charge(id(2), 1, 1_000) >= 99_000,
                "must start at the virtual time of the busy organisation, not at zero");
    }

    @Test
    void countersOfIdleOrganisationsArePruned() {
        VirtualCounters counters = new VirtualCounters();
        for (int i = 0; i < 20_000; i++) {
            counters.recordServed(counters.charge(id(i), 1, 1));
            counters.recordServed(counters.charge(OrganisationId.of("always-busy"), 1, 1));
        }
        assertTrue(counters.size() <= 1_400, counters.size() + " counters kept under continuous load");
        for (int i = 0; i < 20_000; i++) {
            counters.recordServed(counters.charge(id(i), 1, 1));
        }
        counters.reset();
        assertEquals(0, counters.size());
    }

    /**
     * One organisation ("greedy") keeps the queue full with 50 requests per step; another ("small") of the same weight
     * sends one request at a time, longer than those of the first. All requests of the second must be served.
     */
    @Test
    void greedyOrganisationCannotStarveASmallOne() {
        ContentionScenario scenario = new ContentionScenario(1);
        scenario.run(1_000);
        assertTrue(scenario.served[0] > 500_000, "tokens served for the greedy organisation: " + scenario.served[0]);
        assertTrue(scenario.smallSent > 50, scenario.smallSent + " sent");
        assertEquals(0, scenario.smallRefused);
    }

    /** The small organisation always has eight requests queued: equal weights must give equal tokens, not 56 to 8. */
    @Test
    void organisationsOfEqualWeightGetEqualTokensUnderContention() {
        ContentionScenario scenario = new ContentionScenario(8);
        scenario.run(1_000);
        double ratio = (double) scenario.served[0] / scenario.served[1];
        assertTrue(ratio > 0.9 && ratio < 1.1, "tokens of greedy divided by tokens of small: " + ratio);
    }

    /** Simulates one engine under load from a greedy organisation (index 0) and a small one (index 1). */
    private static final class ContentionScenario {
        private final OwnerFixture fixture = new OwnerFixture(
                OwnerSettings.builder().queueCapacity(64).engineQueueMillis(200).build());
        private final Set<AttemptId> smallWaiting = new HashSet<>();
        private final Deque<PlaceRequest> prefilling = new ArrayDeque<>();
        private long prefilledTokens;
        private final int outstanding;
        private final long[] served = new long[2];
        private int smallSent;
        private int smallRefused;

        ContentionScenario(int outstanding) {
            this.outstanding = outstanding;
        }

        void run(int steps) {
            for (int step = 0; step < steps; step++) {
                fixture.engines(1, 1_000_000);
                for (int i = 0; i < 50; i++) {
                    send(fixture.request("greedy", 1_000, 0, 10_000));
                }
                while (smallWaiting.size() < outstanding) {
                    PlaceRequest request = fixture.request("small", 2_000, 0, 10_000);
                    smallSent++;
                    smallWaiting.add(request.attempt());
                    send(request);
                }
                fixture.advance(100).forEach(each -> recordAnswer(each.request(), each.answer()));
                prefill();
            }
        }

        /** The engine prefills 1,000 tokens in 100 ms, one prompt after another. */
        private void prefill() {
            prefilledTokens += 1_000;
            while (!prefilling.isEmpty() && prefilling.peek().demand().promptTokens() <= prefilledTokens) {
                PlaceRequest next = prefilling.poll();
                prefilledTokens -= next.demand().promptTokens();
                fixture.firstToken(next.attempt());
                fixture.release(next.attempt(), ReleaseCause.FINISHED);
            }
            prefilledTokens = prefilling.isEmpty() ? 0 : prefilledTokens;
        }

        private void send(PlaceRequest request) {
            fixture.place(request).ifPresent(answer -> recordAnswer(request, answer));
        }

        private void recordAnswer(PlaceRequest request, OwnerPlaceAnswer answer) {
            boolean small = smallWaiting.remove(request.attempt());
            if (answer instanceof OwnerPlaceAnswer.Placed) {
                prefilling.add(request);
                served[small ? 1 : 0] += request.demand().kvTokens();
            } else {
                smallRefused += small ? 1 : 0;
            }
        }
    }

    /**
     * Entries renew with changing amounts, late or not at all; the sum of the shares in force must never exceed the
     * limit.
     */
    @Property(tries = 200, seed = "5007")
    void sharesNeverSumToMoreThanTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        int limit = 1 + random.nextInt(40);
        Organisation organisation = organisation(limit, 60_000L);
        LimitShareAllocator shares = new LimitShareAllocator(2_000);
        Map<Integer, ShareAnswer> held = new HashMap<>();
        Map<Integer, Long> expiresAtNanos = new HashMap<>();
        long now = 0;
        for (int step = 0; step < 300; step++) {
            now += random.nextInt(300) * 1_000_000L;
            int entry = random.nextInt(18);
            int inFlight = held.containsKey(entry) && expiresAtNanos.get(entry) > now
                    ? random.nextInt(held.get(entry).maxRequests() + 1)
                    : 0;
            ShareRequest request = new ShareRequest(
                    HostId.of("entry-" + entry),
                    Incarnation.of(1),
                    organisation.id(),
                    inFlight,
                    inFlight + random.nextInt(20),
                    random.nextInt(100_000));
            held.put(entry, shares.renew(organisation, request, 18, now));
            expiresAtNanos.put(entry, now + 2 * SECOND);
            assertTrue(held.get(entry).maxRequests() >= inFlight, "share below the requests in flight");
            long time = now;
            held.keySet().removeIf(each -> expiresAtNanos.get(each) <= time);
            assertTrue(held.values().stream().mapToInt(ShareAnswer::maxRequests).sum() <= limit);
            assertTrue(held.values().stream()
                            .mapToLong(ShareAnswer::maxTokensPerMinute)
                            .sum()
                    <= 60_000);
        }
        shares.expire(now + 2 * SECOND);
        assertEquals(0, shares.organisationCount());
    }

    @Test
    void firstEntryGetsWholeLimitAndReturnsHalfOnRenewal() {
        Organisation organisation = organisation(10, 0);
        LimitShareAllocator shares = new LimitShareAllocator(2_000);
        assertEquals(
                10,
                shares.renew(organisation, shareRequest("a", organisation, 0, 20), 18, 0)
                        .maxRequests());
        assertEquals(
                0,
                shares.renew(organisation, shareRequest("b", organisation, 0, 20), 18, 1)
                        .maxRequests());
        assertEquals(
                5,
                shares.renew(organisation, shareRequest("a", organisation, 2, 20), 18, 2)
                        .maxRequests());
        assertEquals(
                5,
                shares.renew(organisation, shareRequest("b", organisation, 0, 20), 18, 3)
                        .maxRequests());
    }

    /**
     * An organisation far below its limit calls many entries one after another. The first entry must not be granted the
     * whole limit: each later entry would refuse the caller until the first renews.
     */
    @Test
    void everyEntryGetsPartOfTheSpareLimit() {
        Organisation organisation = organisation(40, 180_000);
        LimitShareAllocator shares = new LimitShareAllocator(2_000);
        for (int entry = 0; entry < 18; entry++) {
            ShareAnswer answer =
                    shares.renew(organisation, shareRequest("entry-" + entry, organisation, 0, 1), 18, entry);
            assertTrue(answer.maxRequests() >= 2, "entry " + entry + " got " + answer);
            assertTrue(answer.maxTokensPerMinute() >= 10_000, "entry " + entry + " got " + answer);
        }
    }

    /** Over any minute an entry admits at most its share, the bucket of ten seconds' worth, and one request. */
    @Test
    void tokensPerMinuteStayWithinShareBucketAndOneRequest() {
        Organisation organisation = organisation(0, 600_000);
        OrganisationLimits limits = new OrganisationLimits(HostId.of("a"), Incarnation.of(1));
        Random random = new Random(9);
        long[] admitted = new long[300];
        for (int second = 0; second < admitted.length; second++) {
            long now = second * SECOND;
            limits.applyShare(new ShareAnswer(organisation.id(), 0, 600_000, 5_000), now, now);
            for (int i = 0; i < 20; i++) {
                long tokens = 1_000 + random.nextInt(99_000);
                if (limits.admit(organisation, tokens, now) == LimitDecision.ADMITTED) {
                    admitted[second] += tokens;
                    limits.release(organisation.id());
                }
            }
        }
        for (int from = 0; from + 60 <= admitted.length; from++) {
            long sum = 0;
            for (int i = from; i < from + 60; i++) {
                sum += admitted[i];
            }
            assertTrue(sum <= 600_000 + 100_000 + 100_000, sum + " tokens admitted in a minute");
            assertTrue(sum >= 450_000, "tokens admitted in a minute, below the share: " + sum);
        }
    }

    @Test
    void zeroLimitAdmitsRequestsWithoutShare() {
        OrganisationLimits limits = new OrganisationLimits(HostId.of("a"), Incarnation.of(1));
        for (int i = 0; i < 1_000; i++) {
            assertEquals(LimitDecision.ADMITTED, limits.admit(organisation(0, 0), 1_000_000, 0));
        }
        assertEquals(LimitDecision.NO_SHARE, limits.admit(organisation("other", 1, 0), 1, 0));
        limits.applyShare(new ShareAnswer(OrganisationId.of("other"), 1, 0, 1_000), 0, 0);
        assertEquals(LimitDecision.ADMITTED, limits.admit(organisation("other", 1, 0), 1, 0));
        assertEquals(LimitDecision.TOO_MANY_REQUESTS, limits.admit(organisation("other", 1, 0), 1, 0));
        long later = SECOND / 10;
        assertEquals(
                LimitDecision.NO_SHARE,
                limits.admit(organisation("other", 1, 0), 1, later),
                "a new share may be requested");
        assertEquals(
                5,
                limits.shareRequest(OrganisationId.of("other"), later).requests(),
                "one in flight, three refused and one more");
        assertEquals(LimitDecision.TOO_MANY_REQUESTS, limits.admit(organisation("other", 1, 0), 1, later));
    }

    @Test
    void weightComesFromTheConfiguration() {
        OwnerFixture fixture = new OwnerFixture().engines(1, 1_000_000);
        Organisation heavy = new Organisation(OrganisationId.of("heavy"), 3, 0, List.of(), 0, 0, false);
        fixture.owner.configure(Configuration.EMPTY.with(new ConfigDelta(
                ConfigVersion.of(0),
                ConfigVersion.of(1),
                List.of(new VersionedObject(heavy, TicketNumber.of(1), ConfigVersion.of(1))))));
        assertTrue(
                fixture.place(fixture.request("heavy", 1_000, 0, 10_000)).orElseThrow()
                        instanceof OwnerPlaceAnswer.Placed);
    }

    private static ShareRequest shareRequest(String host, Organisation organisation, int inFlight, int wanted) {
        return new ShareRequest(HostId.of(host), Incarnation.of(1), organisation.id(), inFlight, wanted, 0);
    }

    private static Organisation organisation(int requests, long tokens) {
        return organisation("org", requests, tokens);
    }

    private static Organisation organisation(String id, int requests, long tokens) {
        return new Organisation(OrganisationId.of(id), 1, 0, List.of(), requests, tokens, false);
    }

    private static OrganisationId id(int number) {
        return OrganisationId.of("org-" + number);
    }
}
