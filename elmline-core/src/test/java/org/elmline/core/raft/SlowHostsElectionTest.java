package org.elmline.core.raft;

import java.time.Duration;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against seconds without a leader after a loss of all power, where hosts have a small share of a processor. */
class SlowHostsElectionTest {
    private static final long START_NANOS = Duration.ofSeconds(2).toNanos();

    /** Entries refuse calls once their routing table has been unconfirmed for this long. */
    private static final long UNCONFIRMED_NANOS = Duration.ofSeconds(4).toNanos();

    /** Callers must be served this long after all hosts are back. */
    private static final long RECOVERY_NANOS = Duration.ofSeconds(15).toNanos();

    private static final int SEEDS = 50;
    private static final int VOTERS = 9;
    private static final int VOTERS_WITH_LOG = 6;
    private static final int COMMANDS = 40;
    private static final int COMMAND_BYTES = 8_000;
    private static final Duration KILOBYTE = Duration.ofNanos(250_000);
    private static final RaftSettings SETTINGS = RaftSettings.builder()
            .electionTimeout(Duration.ofMillis(600))
            .heartbeat(Duration.ofMillis(100))
            .build();

    @ParameterizedTest
    @ValueSource(ints = {1, 10, 20, 35})
    void leaderCommitsBeforeEntriesRefuseCalls(int messageMillis) {
        for (int seed = 0; seed < SEEDS; seed++) {
            SlowCluster cluster = startAfterPowerLoss(seed, Duration.ofMillis(messageMillis), VOTERS_WITH_LOG);
            assertTrue(
                    cluster.runUntilCommit(START_NANOS + UNCONFIRMED_NANOS),
                    "no commit with seed " + seed + " at " + messageMillis + " ms a message");
        }
    }

    /** Candidates that stand at the same time would keep all hosts busy with their requests, and each other from winning. */
    @Test
    void leaderCommitsThoughAllHostsStand() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SlowCluster cluster = startAfterPowerLoss(seed, Duration.ofMillis(45), VOTERS);
            assertTrue(cluster.runUntilCommit(START_NANOS + RECOVERY_NANOS), "no commit with seed " + seed);
        }
    }

    /** A leader that is busy itself would take its followers for lost, and callers would wait for the next one. */
    @Test
    void busyLeaderStays() {
        for (int seed = 0; seed < SEEDS; seed++) {
            SlowCluster cluster = startAfterPowerLoss(seed, Duration.ofMillis(40), VOTERS_WITH_LOG);
            assertTrue(cluster.runUntilCommit(START_NANOS + RECOVERY_NANOS), "no commit with seed " + seed);
            assertEquals(0, cluster.countLostLeaders(START_NANOS + 2 * RECOVERY_NANOS), "with seed " + seed);
        }
    }

    /** A voter that stands while the candidate's other votes arrive would raise the term and undo the election. */
    @Test
    void voterLeavesCandidateTimeAfterRoundWithoutLeader() {
        long timeout = SETTINGS.electionTimeoutNanos();
        List<ReplicaId> ids = SlowCluster.ids(VOTERS);
        for (int seed = 0; seed < SEEDS; seed++) {
            RestoredState restored = SlowCluster.log(Membership.ofVoters(ids), COMMANDS, COMMAND_BYTES);
            RaftNode voter = new RaftNode(ids.get(0), SETTINGS, restored, new SplittableRandom(seed), 0);
            long votedAt = 2 * timeout;
            voter.tick(votedAt);
            assertEquals(Role.PRE_CANDIDATE, voter.role());
            voter.step(votedAt, new Message.VoteRequest(ids.get(1), ids.get(0), 2, COMMANDS + 1, 1, false));
            voter.tick(votedAt + 3 * timeout - 1);
            assertEquals(Role.FOLLOWER, voter.role(), "with seed " + seed);
        }
    }

    private static SlowCluster startAfterPowerLoss(int seed, Duration message, int voters) {
        SlowCluster cluster = new SlowCluster(SETTINGS, seed, message, KILOBYTE);
        List<ReplicaId> ids = SlowCluster.ids(VOTERS);
        RestoredState restored = SlowCluster.log(Membership.ofVoters(ids), COMMANDS, COMMAND_BYTES);
        for (ReplicaId each : ids.subList(0, voters)) {
            cluster.start(each, restored, START_NANOS);
        }
        return cluster;
    }
}
