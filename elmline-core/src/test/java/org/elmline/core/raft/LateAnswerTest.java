package org.elmline.core.raft;

import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

import org.elmline.core.common.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a new leader that sends its whole log again while its followers are still busy with the first request. */
class LateAnswerTest {
    private static final ReplicaId A = new ReplicaId(HostId.of("a"), 1);
    private static final ReplicaId B = new ReplicaId(HostId.of("b"), 1);
    private static final ReplicaId C = new ReplicaId(HostId.of("c"), 1);
    private static final RaftSettings SETTINGS = RaftSettings.builder().build();
    private static final long TIMEOUT_NANOS = SETTINGS.electionTimeoutNanos();
    private static final long HEARTBEAT_NANOS = SETTINGS.heartbeatNanos();
    private static final long ELECTED_NANOS = 10 * TIMEOUT_NANOS;
    private static final int COMMANDS = 40;

    private final Disk disk = new Disk(RestoredState.bootstrap(Membership.ofVoters(List.of(A, B, C))));
    private RaftNode node;
    private Message.AppendRequest firstRequest;

    /** Makes A the leader of term 3, with the log of term 2 behind it. */
    private void electWithLongLog() {
        elect(3 * TIMEOUT_NANOS, 0);
        step(3 * TIMEOUT_NANOS, new Message.AppendResponse(B, A, 2, true, 1, 2, 3 * TIMEOUT_NANOS));
        node.propose(3 * TIMEOUT_NANOS, Collections.nCopies(COMMANDS, new byte[1_000]));
        processReady(3 * TIMEOUT_NANOS);
        elect(ELECTED_NANOS, ELECTED_NANOS - 3 * TIMEOUT_NANOS);
    }

    private void elect(long now, long startNanos) {
        node = new RaftNode(A, SETTINGS, disk.read(), new SplittableRandom(1), startNanos);
        long term = node.term() + 1;
        node.tick(now);
        processReady(now);
        step(now, new Message.PreVoteResponse(B, A, term, true));
        List<Message.AppendRequest> requests = appendRequests(step(now, new Message.VoteResponse(B, A, term, true)));
        assertTrue(node.isLeader());
        firstRequest = requests.get(0);
    }

    private static List<Message.AppendRequest> appendRequests(List<Message> sent) {
        return sent.stream()
                .filter(Message.AppendRequest.class::isInstance)
                .map(Message.AppendRequest.class::cast)
                .toList();
    }

    private List<Message> processReady(long now) {
        return disk.process(node, now);
    }

    private List<Message> step(long now, Message message) {
        node.step(now, message);
        return processReady(now);
    }

    /** Sends a heartbeat at each interval and returns the entries that B gets for B's answer to one of them. */
    private List<Message.AppendRequest> answer(long sentNanos, long now) {
        for (long at = ELECTED_NANOS; at < now; at += HEARTBEAT_NANOS) {
            node.tick(at);
            processReady(at);
        }
        return appendRequests(step(now, new Message.HeartbeatResponse(B, A, 3, sentNanos)));
    }

    /** Without the entry each follower would refuse the request, and the first commit would take one more round trip. */
    @Test
    void firstRequestOfTermCarriesItsFirstEntry() {
        electWithLongLog();
        assertEquals(node.lastIndex() - 1, firstRequest.prevIndex());
        assertEquals(1, firstRequest.entries().size());
    }

    @Test
    void busyFollowerGetsNothingTwice() {
        electWithLongLog();
        assertEquals(List.of(), answer(ELECTED_NANOS, ELECTED_NANOS + 7 * HEARTBEAT_NANOS));
    }

    @Test
    void followerThatAnswersLaterHeartbeatGetsLostProbeAgain() {
        electWithLongLog();
        List<Message.AppendRequest> repeated =
                answer(ELECTED_NANOS + HEARTBEAT_NANOS, ELECTED_NANOS + 7 * HEARTBEAT_NANOS);
        assertEquals(1, repeated.size());
        assertEquals(firstRequest.prevIndex(), repeated.get(0).prevIndex());
        assertEquals(firstRequest.entries(), repeated.get(0).entries());
    }

    @Test
    void lateAnswerToFirstRequestCommits() {
        electWithLongLog();
        answer(ELECTED_NANOS, ELECTED_NANOS + 7 * HEARTBEAT_NANOS);
        long last = node.lastIndex();
        step(
                ELECTED_NANOS + 8 * HEARTBEAT_NANOS,
                new Message.AppendResponse(B, A, 3, true, last - 1, last, ELECTED_NANOS));
        assertEquals(last, node.committedIndex());
    }
}
