package org.elmline.core.registry;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PendingPollTest {
    private static final long MILLI = 1_000_000L;
    private static final long EPOCH = 7;

    private static EntryRecord entry(int number) {
        return new EntryRecord(
                HostId.of("10.0.0." + number),
                1,
                new Address("10.0.0." + number, 80),
                new Address("10.0.0." + number, 81),
                FailureDomain.of("d"),
                Region.of("r"),
                true,
                false);
    }

    private static FollowRequest request(EntryRecord entry, long servers, long entries, long version) {
        return new FollowRequest(
                HostId.of("10.0.0.1"),
                entry,
                EPOCH,
                servers,
                entries,
                version,
                FollowRequest.FORM_PACKED_UPDATES,
                0,
                false,
                0);
    }

    private static PendingPoll poll(long servers, long entries, long version) {
        return new PendingPoll(request(entry(1), servers, entries, version), 0);
    }

    @Test
    void holdsPollWithoutChanges() {
        RegistryVersions versions = new RegistryVersions(EPOCH, 5, 3, 4, 0, 9, 0);
        assertFalse(poll(5, 4, 9).isDue(versions, 499 * MILLI));
        assertTrue(poll(5, 4, 9).isDue(versions, 500 * MILLI));
    }

    /** Guards against poll traffic that grows with the number of control hosts. */
    @Test
    void holdsPollLongerForFollowerOfManyControlHosts() {
        assertEquals(500, PendingPoll.holdMillis(5));
        assertEquals(1_500, PendingPoll.holdMillis(9));
        FollowRequest longHold = new FollowRequest(HostId.of("10.0.0.1"), entry(1), EPOCH, 5, 4, 9, 1, 1_500, false, 0);
        RegistryVersions unchanged = new RegistryVersions(EPOCH, 5, 3, 4, 0, 9, 0);
        RegistryVersions entryChanged = new RegistryVersions(EPOCH, 5, 3, 5, 0, 9, 0);
        assertFalse(
                new PendingPoll(longHold, 0).isDue(entryChanged, 399 * MILLI),
                "eight other control hosts report it, too");
        assertTrue(new PendingPoll(longHold, 0).isDue(entryChanged, 400 * MILLI));
        assertFalse(new PendingPoll(longHold, 0).isDue(unchanged, 1_499 * MILLI));
        assertTrue(new PendingPoll(longHold, 0).isDue(unchanged, 1_500 * MILLI));
        assertTrue(
                new PendingPoll(longHold, 0).isDue(new RegistryVersions(EPOCH, 6, 6, 4, 0, 9, 0), 0),
                "a leaving server is reported without delay");
    }

    /** Guards against a caller whose next try reaches another entry before a quarantine that its last one has caused. */
    @Test
    void reportsRestrictedCallsWithoutDelay() {
        RegistryVersions evidence = new RegistryVersions(EPOCH, 5, 3, 4, 0, 9, 1, 0, 0);
        RegistryVersions restriction = new RegistryVersions(EPOCH, 5, 3, 4, 0, 9, 2, 0, 2);
        assertFalse(poll(5, 4, 9).isDue(evidence, 99 * MILLI));
        assertTrue(poll(5, 4, 9).isDue(evidence, 100 * MILLI));
        assertTrue(poll(5, 4, 9).isDue(restriction, 0));
    }

    /** Guards against a control host that spends its processor time on reporting what others have reported already. */
    @Test
    void holdsChangesOfEntriesForFollowerThatHearsThemFromOthers() {
        FollowRequest request = new FollowRequest(HostId.of("10.0.0.1"), entry(1), EPOCH, 5, 4, 9, 1, 1_500, true, 0);
        PendingPoll poll = new PendingPoll(request, 0);
        assertFalse(poll.isDue(new RegistryVersions(EPOCH, 5, 3, 6, 4, 9, 0), 1_499 * MILLI));
        assertTrue(poll.isDue(new RegistryVersions(EPOCH, 5, 3, 6, 4, 9, 0), 1_500 * MILLI));
        assertTrue(poll.isDue(new RegistryVersions(EPOCH, 5, 3, 6, 5, 9, 0), 400 * MILLI), "an entry has expired");
        assertTrue(poll.isDue(new RegistryVersions(EPOCH, 6, 3, 4, 4, 9, 0), 400 * MILLI), "a server has changed");
        assertTrue(
                poll.isDue(new RegistryVersions(EPOCH, 5, 3, 4, 4, 10, 0), 0), "a new table is reported without delay");
    }

    @Test
    void answersAtOnceOnNewRoutingTable() {
        assertTrue(poll(5, 4, 8).isDue(new RegistryVersions(EPOCH, 5, 3, 4, 0, 9, 0), 0));
    }

    /** Guards against evacuations that reach entries only at the end of a hold. */
    @Test
    void answersAtOnceOnNewEvacuations() {
        RegistryVersions versions = new RegistryVersions(EPOCH, 5, 3, 4, 0, 9, 0, 2);
        assertTrue(following(entry(1), 1L).isDue(versions, 0));
        assertFalse(following(entry(1), 2L).isDue(versions, 0));
    }

    /** Guards against an entry of an earlier release that is answered without pause, as it acknowledges no version. */
    @Test
    void evacuationsAreNoReasonToAnswerFollowerThatDoesNotFollowThem() {
        RegistryVersions versions = new RegistryVersions(EPOCH, 5, 3, 4, 0, 9, 0, 2);
        assertFalse(following(entry(1), null).isDue(versions, 499 * MILLI));
        assertFalse(following(null, 1L).isDue(versions, 499 * MILLI), "a control host has them in its log");
    }

    private static PendingPoll following(EntryRecord entry, Long evacuationSeen) {
        return new PendingPoll(
                new FollowRequest(HostId.of("10.0.0.1"), entry, EPOCH, 5, 4, 9, 1, 500, false, 0, evacuationSeen, 0),
                0);
    }

    @Test
    void answersAtOnceWhenFollowerHasStateOfEarlierStart() {
        assertTrue(poll(5, 4, 9).isDue(new RegistryVersions(EPOCH + 1, 0, 0, 0, 0, -1, 0), 0));
    }

    /**
     * Guards against calls to a server that is leaving. Its acknowledgement is held back until every entry has received
     * the change; if the change were delayed, the server would get no response, would call another control host, and
     * calls would still be sent to it.
     */
    @Test
    void answersAtOnceWhenServerLeaves() {
        assertTrue(poll(5, 4, 9).isDue(new RegistryVersions(EPOCH, 6, 6, 4, 0, 9, 0), 0));
        assertFalse(
                poll(6, 4, 9).isDue(new RegistryVersions(EPOCH, 6, 6, 4, 0, 9, 0), 0),
                "the follower has the change already");
    }

    @Test
    void batchesNewServersAndEntries() {
        RegistryVersions versions = new RegistryVersions(EPOCH, 6, 3, 5, 0, 9, 0);
        assertFalse(poll(5, 4, 9).isDue(versions, 99 * MILLI));
        assertTrue(poll(5, 4, 9).isDue(versions, 100 * MILLI));
    }

    /**
     * Guards against an overload of the control hosts when all processes start together after a power loss: callers are
     * rejected until the entries have the routing table, while the control hosts report every new entry and server to
     * 22 followers. With each change reported at once that takes 1,320 answers in 1.2 s; batched it takes 264.
     */
    @Test
    void restartOfAllProcessesCausesFewAnswers() {
        int followers = 22;
        int changes = 60;
        List<PendingPoll> polls = new ArrayList<>();
        for (int i = 1; i <= followers; i++) {
            polls.add(new PendingPoll(request(i <= 18 ? entry(i) : null, 0, 0, 9), 0));
        }
        int answers = 0;
        for (int millis = 1; millis <= 1_200; millis++) {
            long servers = (long) changes * millis / 1_200;
            RegistryVersions versions = new RegistryVersions(EPOCH, servers, 0, 0, 0, 9, 0);
            for (int i = 0; i < followers; i++) {
                if (polls.get(i).isDue(versions, millis * MILLI)) {
                    answers++;
                    EntryRecord follower = polls.get(i).request().entry();
                    polls.set(i, new PendingPoll(request(follower, servers, 0, 9), millis * MILLI));
                }
            }
        }
        assertTrue(answers <= followers * 12, answers + " answers");
        assertTrue(changes * followers > 4 * answers, answers + " answers");
    }
}
