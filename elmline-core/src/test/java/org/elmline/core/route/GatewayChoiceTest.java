package org.elmline.core.route;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;
import org.elmline.core.control.HostRecord;
import org.elmline.core.owner.OwnerFixture;
import org.elmline.core.placement.Demand;
import org.junit.jupiter.api.Test;

import static org.elmline.core.owner.OwnerFixture.MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Choices of a gateway: the owner for a request, the receivers of its own summaries, and the entries given to callers.
 */
class GatewayChoiceTest {
    private static final int OWNERS = 18;

    private final List<HostRecord> members = new ArrayList<>();
    private final OwnerTable table = new OwnerTable(OwnerFixture.host("self", "a"), OwnerTableSettings.DEFAULT);
    private final Random random = new Random(11);

    GatewayChoiceTest() {
        for (int i = 0; i < OWNERS; i++) {
            members.add(OwnerFixture.host("owner-" + i, "domain-" + i % 3));
        }
        table.members(members);
    }

    /**
     * Guards against overloading the owner that looks slightly better in summaries of the same age: without spreading,
     * every entry would send all its requests there until the next summary. No owner may get more than three times its
     * even share.
     */
    @Test
    void spreadsRequestsBetweenTwoSummariesOverOwners() {
        for (int i = 0; i < OWNERS; i++) {
            table.accept(summary(i, 1, i == 3 ? 0 : 40), 0);
        }
        Map<HostId, Integer> requestsByOwner = new HashMap<>();
        int requests = 1_800;
        for (int i = 0; i < requests; i++) {
            OwnerChoice choice =
                    table.choose(demand(2_000, List.of()), Set.of(), random, 0).orElseThrow();
            requestsByOwner.merge(choice.owner().id(), 1, Integer::sum);
        }
        assertEquals(OWNERS, requestsByOwner.size());
        assertTrue(Collections.max(requestsByOwner.values()) <= 3 * requests / OWNERS, requestsByOwner.toString());
    }

    /** The same for the first requests of many entries, none of which has yet sent much work itself. */
    @Test
    void spreadsFirstRequestsOfManyEntriesOverOwners() {
        int sentToOne = 0;
        int entries = 90;
        for (int entry = 0; entry < entries; entry++) {
            OwnerTable own = new OwnerTable(OwnerFixture.host("entry-" + entry, "a"), OwnerTableSettings.DEFAULT);
            own.members(members);
            for (int i = 0; i < OWNERS; i++) {
                own.accept(summary(i, 1, i == 3 ? 0 : 2_000), 0);
            }
            HostId chosen = own.choose(demand(2_000, List.of()), Set.of(), random, 0)
                    .orElseThrow()
                    .owner()
                    .id();
            sentToOne += chosen.equals(HostId.of("owner-3")) ? 1 : 0;
        }
        assertTrue(sentToOne > 0 && sentToOne <= 7 * entries / OWNERS, sentToOne + " of " + entries + " to one owner");
    }

    @Test
    void prefersClearlyBetterOwnersAndCachedPrefixesAndSkipsTriedOwners() {
        for (int i = 0; i < OWNERS; i++) {
            table.accept(summary(i, 1, i < 9 ? 5_000 : 10), 0);
        }
        Set<HostId> tried = new HashSet<>();
        for (int i = 0; i < 9; i++) {
            OwnerChoice choice =
                    table.choose(demand(2_000, List.of()), tried, random, 0).orElseThrow();
            assertTrue(tried.add(choice.owner().id()));
        }
        int prefixHits = 0;
        for (int i = 0; i < 20; i++) {
            HostId chosen = table.choose(demand(30_000, prefix(17)), Set.of(), new Random(i), 0)
                    .orElseThrow()
                    .owner()
                    .id();
            prefixHits += chosen.equals(HostId.of("owner-17")) ? 1 : 0;
        }
        assertTrue(prefixHits > 0, "the owner with the cached prefix is among the candidates");
        assertTrue(
                table.choose(demand(2_000, List.of()), Set.of(), random, 10_000 * MILLI)
                        .isEmpty(),
                "summaries above the maximum age are ignored");
    }

    @Test
    void ignoresOlderSummariesAndLostOwners() {
        assertTrue(table.accept(summary(1, 5, 10), 0).newer());
        assertFalse(table.accept(summary(1, 4, 10), 0).newer(), "an older sequence number");
        assertEquals(
                HostId.of("owner-1"),
                table.ownerOf(OwnerFixture.engine("engine-1", 1, 1, false).id())
                        .orElseThrow()
                        .id());
        table.refresh(HostId.of("owner-1"), demand(2_000, List.of()), null);
        assertTrue(table.choose(demand(2_000, List.of()), Set.of(), random, 0).isEmpty());
        table.members(List.of(members.get(0)));
        assertEquals(0, table.size());
    }

    /**
     * With 370 entries and a summary that changes all the time, the budget holds and every entry receives summaries.
     */
    @Test
    void summariesStayWithinBudgetAndReachEveryEntry() {
        List<HostRecord> many = new ArrayList<>();
        for (int i = 0; i < 370; i++) {
            many.add(OwnerFixture.host("entry-" + i, "a"));
        }
        int bytes = 300;
        double budget = 2_500;
        SummarySchedule schedule = new SummarySchedule(many.get(0), 2_000, budget);
        Map<HostId, Integer> received = new HashMap<>();
        int sent = 0;
        int seconds = 120;
        for (int tenth = 0; tenth < 10 * seconds; tenth++) {
            OwnerSummary summary = summary(1, tenth, tenth % 2 == 0 ? 0 : 1_000);
            for (HostRecord each : schedule.targets(summary, bytes, many, tenth * 100 * MILLI)) {
                received.merge(each.id(), 1, Integer::sum);
                sent += bytes;
            }
        }
        assertEquals(369, received.size());
        assertTrue(sent <= budget * (seconds + 2), sent + " bytes");
        assertTrue(
                received.values().stream().allMatch(each -> each >= 2),
                "each entry receives a summary about every 45 s");
    }

    @Test
    void spreadsCallersOverLiveEntriesOfTwoFailureDomains() {
        HostRecord last = members.remove(OWNERS - 1);
        members.add(new HostRecord(
                last.id(),
                last.incarnation(),
                last.failureDomain(),
                last.region(),
                last.callers(),
                last.peers(),
                last.operators(),
                true));
        Map<HostId, Integer> first = new HashMap<>();
        for (int i = 0; i < 3_400; i++) {
            List<HostRecord> chosen = EntryHostChoice.choose(members, Region.of("north"), 3, random);
            assertEquals(3, chosen.size());
            assertTrue(chosen.stream().map(HostRecord::failureDomain).distinct().count() >= 2);
            first.merge(chosen.get(0).id(), 1, Integer::sum);
        }
        assertEquals(OWNERS - 1, first.size(), "all but the leaving entry");
        assertTrue(first.values().stream().allMatch(each -> each > 120 && each < 300), first.toString());
    }

    private static OwnerSummary summary(int owner, long sequence, int waitMillis) {
        ModelSummary model = new ModelSummary(
                OwnerFixture.MODEL,
                1,
                List.of(waitMillis, waitMillis, waitMillis, waitMillis),
                10_000,
                100_000,
                100_000,
                List.of(ModelSummary.shortHash(prefix(owner).get(0))));
        int server = Ownership.shortHash(
                OwnerFixture.engine("engine-" + owner, 1, 1, false).id());
        return new OwnerSummary(
                HostId.of("owner-" + owner), Incarnation.of(1), sequence, List.of(server), List.of(model), List.of());
    }

    private static List<Long> prefix(int owner) {
        List<Long> hashes = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            hashes.add(owner * 1_000L + i);
        }
        return hashes;
    }

    private static Demand demand(int tokens, List<Long> prefix) {
        return new Demand(OwnerFixture.MODEL, "", tokens, 100, prefix, 0, 10_000, Set.of());
    }
}
