package org.elmline.daemon.raft;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.peer.Channel;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.RaftNode;
import org.elmline.core.raft.RaftSettings;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.RestoredState;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class JoinRequesterTest {
    private static final int HOSTS = 9;
    private static final RaftSettings SETTINGS = RaftSettings.builder().build();
    private static final long TIMEOUT_NANOS = SETTINGS.electionTimeout().toNanos();

    private final List<Address> requested = new ArrayList<>();
    private final RaftDriver.Builder configuration = RaftDriver.builder()
            .settings(SETTINGS)
            .random(new SplittableRandom(1))
            .clock(() -> 0)
            .voterLostTimeout(Duration.ofSeconds(3))
            .addresses(JoinRequesterTest::addressOf, JoinRequesterTest::otherHosts);

    private static ReplicaId replica(int number) {
        return new ReplicaId(HostId.of("h" + number), 1);
    }

    private static Address addressOf(HostId host) {
        return new Address("127.0.0.1", 1 + Integer.parseInt(host.value().substring(1)));
    }

    private static List<Address> otherHosts() {
        return members().subList(1, HOSTS).stream()
                .map(each -> addressOf(each.host()))
                .toList();
    }

    private static List<ReplicaId> members() {
        List<ReplicaId> all = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            all.add(replica(i));
        }
        return all;
    }

    private JoinRequester requester(RestoredState restored) {
        RaftNode node = new RaftNode(replica(0), SETTINGS, restored, new SplittableRandom(1), 0);
        MetricRegistry metrics = new MetricRegistry();
        RaftMessageSender sender = new RaftMessageSender(
                new RecordingNetwork(), JoinRequesterTest::addressOf, SETTINGS.electionTimeout(), metrics);
        return new JoinRequester(
                configuration, node, sender, new MembershipReporter(node, metrics, TIMEOUT_NANOS), answer -> {});
    }

    private static RestoredState ofVoter() {
        return RestoredState.bootstrap(Membership.ofVoters(members()));
    }

    private static void run(JoinRequester requester, int timeouts) {
        for (long now = 0; now <= timeouts * TIMEOUT_NANOS; now += TIMEOUT_NANOS / 20) {
            requester.tick(now);
        }
    }

    /** Guards against voters that fill the time without a leader with requests to join, each to all hosts. */
    @Test
    void voterWithoutLeaderRequestsToJoinAtOneHostAtATime() {
        run(requester(ofVoter()), 10);
        assertTrue(requested.size() <= 9, requested.size() + " requests in ten election timeouts");
        assertTrue(requested.stream().distinct().count() > 1, "not always the same host, which may be lost");
    }

    @Test
    void replacedVoterRequestsToJoinAtTheLeaderThatAMemberNames() {
        JoinRequester requester = requester(ofVoter());
        run(requester, 2);
        requested.clear();
        requester.onAnswer(
                new RaftChannels.JoinAnswer(
                        replica(5), Membership.ofVoters(members().subList(1, HOSTS))),
                2 * TIMEOUT_NANOS);
        assertEquals(List.of(addressOf(replica(5).host())), requested);
    }

    @Test
    void newReplicaRequestsToJoinAtAllHosts() {
        requester(RestoredState.EMPTY).tick(0);
        assertEquals(otherHosts(), requested);
    }

    private final class RecordingNetwork implements PeerNetwork {
        @Override
        public <Q, R> CompletableFuture<CallResult<R>> call(
                Address to, Channel<Q, R> channel, Q request, Duration timeout) {
            requested.add(to);
            return new CompletableFuture<>();
        }

        @Override
        public <Q> boolean send(Address to, Channel<Q, ?> channel, Q message) {
            throw new UnsupportedOperationException("only calls are expected");
        }
    }
}
