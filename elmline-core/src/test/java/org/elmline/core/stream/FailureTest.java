package org.elmline.core.stream;

import java.util.List;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Ran;
import org.elmline.core.engine.KvExport;
import org.elmline.core.engine.StreamInfo;
import org.elmline.core.owner.OwnerFixture;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Retry decisions, retry budget, repeated cancels and detection of orphaned streams. */
class FailureTest {
    private static final BackendServerId ENGINE = BackendServerId.of("engine");
    private static final long SECOND = 1_000_000_000L;

    @Test
    void decidesByOutcomeRepeatabilityAttemptsAndTimeLeft() {
        Object[][] cases = {
            // ran, repeatable, reachable, delivered, resumes, attempts, remaining
            {Ran.NO, false, true, 0, 0, 1, 1_000L, RetryDecision.RETRY},
            {Ran.NO, true, true, 0, 0, 1, 1_000L, RetryDecision.RETRY},
            {Ran.UNKNOWN, false, false, 0, 0, 1, 1_000L, RetryDecision.GIVE_UP},
            {Ran.YES, false, false, 0, 0, 1, 1_000L, RetryDecision.GIVE_UP},
            {Ran.UNKNOWN, true, true, 5, 0, 1, 1_000L, RetryDecision.RESUME},
            {Ran.UNKNOWN, true, true, 5, 3, 1, 1_000L, RetryDecision.CONTINUE},
            {Ran.UNKNOWN, true, false, 5, 0, 1, 1_000L, RetryDecision.CONTINUE},
            {Ran.UNKNOWN, true, false, 0, 0, 1, 1_000L, RetryDecision.RETRY},
            {Ran.NO, true, true, 0, 0, 4, 1_000L, RetryDecision.GIVE_UP},
            {Ran.NO, true, true, 0, 0, 1, 10L, RetryDecision.GIVE_UP},
        };
        int passed = 0;
        for (Object[] each : cases) {
            StreamFailure failure = new StreamFailure(
                    (Ran) each[0],
                    (boolean) each[1],
                    (boolean) each[2],
                    (int) each[3],
                    (int) each[4],
                    (int) each[5],
                    (long) each[6]);
            assertEquals(each[7], RetryDecision.of(failure, new RetryBudget(0.1, 10)), "case " + passed);
            passed++;
        }
        assertEquals(10, passed);
    }

    /**
     * Half the engines refuse every attempt at once. Without a budget each request would be tried up to four times, and
     * the other half, loaded already, would get close to twice the requests. The budget bounds all attempts.
     */
    @Property(tries = 20, seed = "5005")
    void retriesStayWithinBudget(@ForAll long seed) {
        Random random = new Random(seed);
        RetryBudget budget = new RetryBudget(0.1, 10);
        int requests = 5_000;
        int tries = 0;
        for (int i = 0; i < requests; i++) {
            budget.onFirstAttempt();
            int own = 1;
            RetryDecision next = random.nextBoolean() ? decide(own, budget) : RetryDecision.GIVE_UP;
            while (next == RetryDecision.RETRY) {
                own++;
                next = random.nextBoolean() ? decide(own, budget) : RetryDecision.GIVE_UP;
            }
            tries += own;
        }
        assertTrue(tries <= 1.1 * requests + 10, tries + " attempts for " + requests + " requests");
        assertTrue(tries > 1.09 * requests, "the budget is used");
    }

    private static RetryDecision decide(int tries, RetryBudget budget) {
        return RetryDecision.of(new StreamFailure(Ran.NO, true, false, 0, 0, tries, 60_000), budget);
    }

    /** The network loses cancels; the engine's memory stays reserved until one arrives and is acknowledged. */
    @Test
    void cancelsAreRepeatedUntilAcknowledged() {
        CancelQueue queue = new CancelQueue();
        Cancel cancel = Cancel.stream(ENGINE, AttemptId.of("a"));
        queue.add(cancel, 0);
        int sent = 0;
        for (long now = 0; now <= 60 * SECOND; now += SECOND / 10) {
            sent += queue.due(now).size();
            queue.add(cancel, now);
        }
        assertTrue(sent >= 12 && sent <= 16, sent + " cancels in a minute");
        assertTrue(queue.acknowledge(cancel));
        assertEquals(List.of(), queue.due(120 * SECOND));
        queue.add(cancel, 0);
        queue.removeServer(ENGINE);
        assertEquals(0, queue.size());
    }

    /**
     * An entry restarts while its engine still computes an answer for the old incarnation. The new owner lists the
     * engine's streams: those of the ended incarnation are cancelled, but only when a second listing shows them, and
     * never those of a live incarnation, of one newer than the member list, or of a registered attempt.
     */
    @Test
    void onlyHoldingsOfEndedIncarnationsAreOrphans() {
        LiveHosts hosts = new LiveHosts(List.of(OwnerFixture.host("live", "a")));
        OrphanFinder finder = new OrphanFinder(3 * SECOND);
        List<StreamInfo> streams = List.of(
                stream("ended-incarnation", "live", 0),
                stream("current", "live", 1),
                stream("newer-than-list", "live", 2),
                stream("lost-host", "gone", 1),
                stream("registered", "gone", 1));
        List<KvExport> exports =
                List.of(new KvExport("kv", AttemptId.of("export"), HostId.of("gone"), Incarnation.of(1), 10));
        var first =
                finder.find(ENGINE, streams, exports, hosts, id -> id.value().equals("registered"), 0);
        assertEquals(List.of(), first.orphans());
        assertEquals(2, first.unregistered().size(), "those of live incarnations are reported for an audit");
        var second =
                finder.find(ENGINE, streams, exports, hosts, id -> id.value().equals("registered"), 3 * SECOND);
        assertEquals(3, second.orphans().size());
        assertTrue(second.orphans().contains(Cancel.export(ENGINE, AttemptId.of("export"), "kv")));
        assertTrue(second.orphans().contains(Cancel.stream(ENGINE, AttemptId.of("ended-incarnation"))));
        assertTrue(second.orphans().contains(Cancel.stream(ENGINE, AttemptId.of("lost-host"))));
    }

    private static StreamInfo stream(String attempt, String host, long incarnation) {
        return new StreamInfo(AttemptId.of(attempt), HostId.of(host), Incarnation.of(incarnation), 100);
    }
}
