package org.elmline.core.route;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.elmline.core.backend.Announcement;
import org.elmline.core.common.HostId;
import org.elmline.core.control.HostRecord;
import org.elmline.core.owner.OwnerFixture;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class OwnershipTest {
    private static final int HOSTS = 20;
    private static final int SERVERS = 400;

    private final Map<HostId, List<Integer>> loads = new HashMap<>();
    private final List<Announcement> servers = servers();
    private final Map<Announcement, HostId> owners = new HashMap<>();

    @Test
    void ownerDoesNotDependOnOrderOfMemberList() {
        List<HostRecord> members = hosts(HOSTS);
        List<HostRecord> shuffled = new ArrayList<>(members);
        Collections.shuffle(shuffled, new Random(3));
        for (Announcement each : servers()) {
            List<HostRecord> order = new Ownership(members).candidates(each);
            assertEquals(order, new Ownership(shuffled).candidates(each));
            assertEquals(order.get(0), new Ownership(shuffled).owner(each).orElseThrow());
        }
    }

    @Test
    void prefersOwnFailureDomainThenRegionAndSkipsLeavingHosts() {
        HostRecord same = OwnerFixture.host("same", "a");
        HostRecord region = OwnerFixture.host("region", "b");
        HostRecord leaving = new HostRecord(
                HostId.of("leaving"),
                same.incarnation(),
                same.failureDomain(),
                same.region(),
                same.callers(),
                same.peers(),
                same.operators(),
                true);
        for (Announcement each : servers().subList(0, 50)) {
            assertEquals(List.of(same, region), new Ownership(List.of(region, leaving, same)).candidates(each));
            assertEquals(
                    region, new Ownership(List.of(region, leaving)).owner(each).orElseThrow());
        }
    }

    /**
     * Without the bound, a joining host only takes servers over and nothing moves between the other hosts; so a leaving
     * host moves only its own.
     */
    @Test
    void joiningHostMovesServersOnlyToItselfWithoutBound() {
        Ownership before = new Ownership(hosts(HOSTS));
        Ownership after = new Ownership(hosts(HOSTS + 1));
        int moved = 0;
        for (Announcement each : servers()) {
            HostId then = before.owner(each).orElseThrow().id();
            HostId now = after.owner(each).orElseThrow().id();
            moved += then.equals(now) ? 0 : 1;
            assertTrue(then.equals(now) || now.equals(HostId.of("host-" + HOSTS)));
        }
        assertTrue(moved > 0 && moved <= 2 * SERVERS / (HOSTS + 1), moved + " moved");
    }

    /**
     * Servers announce themselves in rounds; each announcement is judged on the current numbers of servers, as entries
     * do.
     */
    @Test
    void ownersStayWithinBoundAndMembershipChangesMoveFewServers() {
        List<HostRecord> members = new ArrayList<>(hosts(HOSTS));
        announceUntilStable(members);
        int bound = Ownership.maxServersPerOwner(SERVERS, HOSTS);
        assertEquals(25, bound);
        assertTrue(loads.values().stream().allMatch(each -> each.size() <= bound));
        assertEquals(0, announceAll(members), "stable: nothing moves any more");

        members.add(OwnerFixture.host("host-" + HOSTS, "a"));
        int joined = announceUntilStable(members);
        assertTrue(joined <= 2 * SERVERS / HOSTS, joined + " moved on a join");
        assertTrue(loads.get(HostId.of("host-" + HOSTS)).size() >= SERVERS / HOSTS / 2, "the new host gets a share");

        HostRecord lost = members.remove(4);
        int own = loads.get(lost.id()).size();
        loads.put(lost.id(), List.of());
        int left = announceUntilStable(members);
        assertTrue(left <= own + SERVERS / HOSTS, left + " moved when a host with " + own + " left");
        int lastBound = Ownership.maxServersPerOwner(SERVERS, members.size());
        assertTrue(loads.values().stream().allMatch(each -> each.size() <= lastBound));
    }

    /** Engines come and go continually; the ones that stay must hardly ever change their owner because of that. */
    @Test
    void remainingServersRarelyChangeOwnerWhileOthersComeAndGo() {
        List<HostRecord> members = hosts(HOSTS);
        announceUntilStable(members);
        Random random = new Random(5);
        int moved = 0;
        for (int change = 0; change < 400; change++) {
            Announcement removed = servers.remove(random.nextInt(servers.size()));
            HostId owner = owners.remove(removed);
            loads.put(owner, without(loads.get(owner), Ownership.shortHash(removed.id())));
            servers.add(OwnerFixture.engine("later-" + change, 1, 1_000, false));
            moved += announceAll(members) - 1;
        }
        assertTrue(moved <= 28, moved + " moves of servers that stayed, over 400 changes");
    }

    /**
     * All servers announce themselves on the counts of the round before, so all see the same host with free capacity at
     * once.
     */
    @Test
    void laggingCountsDoNotMoveServersRepeatedly() {
        List<HostRecord> members = new ArrayList<>(hosts(HOSTS));
        announceUntilStable(members);
        members.add(OwnerFixture.host("host-" + HOSTS, "a"));
        Ownership ownership = new Ownership(members);
        Map<Announcement, Integer> moves = new HashMap<>();
        int moved = 1;
        for (int round = 0; moved > 0; round++) {
            assertTrue(round < 10, "not stable after 10 rounds, servers moved in the last one: " + moved);
            moved = 0;
            Map<HostId, List<Integer>> lagging = new HashMap<>(loads);
            for (Announcement each : servers()) {
                int changed = announce(ownership, each, lagging);
                moved += changed;
                moves.merge(each, changed, Integer::sum);
            }
        }
        assertTrue(Collections.max(moves.values()) <= 2, "one server moved " + Collections.max(moves.values()));
    }

    private int announceUntilStable(List<HostRecord> members) {
        int moved = 0;
        int last = 1;
        for (int round = 0; last > 0; round++) {
            assertTrue(round < 10, "not stable after 10 rounds");
            last = announceAll(members);
            moved += last;
        }
        return moved;
    }

    private int announceAll(List<HostRecord> members) {
        Ownership ownership = new Ownership(members);
        int moved = 0;
        for (Announcement each : servers) {
            moved += announce(ownership, each, loads);
        }
        return moved;
    }

    private int announce(Ownership ownership, Announcement server, Map<HostId, List<Integer>> seen) {
        HostId owner = ownership
                .owner(server, host -> seen.getOrDefault(host, List.of()))
                .orElseThrow()
                .id();
        HostId before = owners.put(server, owner);
        if (owner.equals(before)) {
            return 0;
        }
        Integer key = Ownership.shortHash(server.id());
        if (before != null) {
            loads.put(before, without(loads.get(before), key));
        }
        List<Integer> more = new ArrayList<>(loads.getOrDefault(owner, List.of()));
        more.add(key);
        loads.put(owner, more);
        return 1;
    }

    private static List<Integer> without(List<Integer> all, Integer one) {
        List<Integer> rest = new ArrayList<>(all);
        rest.remove(one);
        return rest;
    }

    private static List<HostRecord> hosts(int count) {
        List<HostRecord> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(OwnerFixture.host("host-" + i, "a"));
        }
        return hosts;
    }

    private static List<Announcement> servers() {
        List<Announcement> servers = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            servers.add(OwnerFixture.engine("engine-" + i, 1, 1_000, false));
        }
        return servers;
    }
}
