package org.elmline.daemon.raft;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.channels.AsynchronousChannelGroup;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.Closer;
import org.elmline.core.common.HostId;
import org.elmline.core.raft.Message;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.timeline.HybridClock;
import org.elmline.wire.tcp.PeerHandlers;
import org.elmline.wire.tcp.PeerKey;
import org.elmline.wire.tcp.PeerLimits;
import org.elmline.wire.tcp.TcpPeerNetwork;
import org.elmline.wire.tcp.TcpPeerServer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against votes that are lost because a host that has just started is slow with its first handshakes. */
class RaftMessageSenderTest {
    private static final Duration ELECTION_TIMEOUT = Duration.ofMillis(600);
    private static final Duration HANDSHAKE_DELAY = Duration.ofMillis(1_200);
    private static final HybridClock CLOCK = new HybridClock(System::currentTimeMillis);
    private static final PeerKey KEY = new PeerKey("a peer key of tests");
    private static final ReplicaId CANDIDATE = new ReplicaId(HostId.of("a"), 1);
    private static final ReplicaId VOTER = new ReplicaId(HostId.of("b"), 1);

    private final Closer closer = new Closer();
    private final BlockingQueue<Message> received = new LinkedBlockingQueue<>();

    @AfterEach
    void close() {
        closer.close();
    }

    @Test
    void messagesArriveInOrderAfterSlowHandshake() throws Exception {
        ExecutorService workers = Executors.newCachedThreadPool();
        closer.register(workers::shutdownNow);
        ScheduledExecutorService timer = Executors.newScheduledThreadPool(1);
        closer.register(timer::shutdownNow);
        AsynchronousChannelGroup group = AsynchronousChannelGroup.withFixedThreadPool(2, Thread::new);
        closer.register(group::shutdownNow);
        PeerHandlers handlers = new PeerHandlers(workers);
        handlers.registerImmediate(RaftChannels.MESSAGES, request -> {
            received.addAll(request.messages());
            return CompletableFuture.completedFuture(new RaftChannels.Acknowledged());
        });
        TcpPeerServer server = closer.register(TcpPeerServer.start(
                new InetSocketAddress("127.0.0.1", 0), handlers, KEY, PeerLimits.DEFAULT, group, timer, CLOCK));
        ServerSocket busyHost = closer.register(new ServerSocket(0));
        workers.execute(() -> forwardLater(busyHost, server.port(), workers));
        TcpPeerNetwork network =
                closer.register(new TcpPeerNetwork(KEY, PeerLimits.DEFAULT, group, timer, workers, CLOCK));
        Address address = new Address("127.0.0.1", busyHost.getLocalPort());
        RaftMessageSender sender =
                new RaftMessageSender(network, host -> address, ELECTION_TIMEOUT, new MetricRegistry());
        Message preVote = new Message.PreVoteRequest(CANDIDATE, VOTER, 2, 1, 1);
        Message vote = new Message.VoteRequest(CANDIDATE, VOTER, 2, 1, 1, false);
        sender.send(List.of(preVote));
        sender.send(List.of(vote));
        assertEquals(preVote, received.poll(10, TimeUnit.SECONDS));
        assertEquals(vote, received.poll(10, TimeUnit.SECONDS));
    }

    private static void forwardLater(ServerSocket busyHost, int port, ExecutorService workers) {
        try (Socket caller = busyHost.accept()) {
            Thread.sleep(HANDSHAKE_DELAY.toMillis());
            try (Socket served = new Socket("127.0.0.1", port)) {
                workers.execute(() -> copy(served, caller));
                copy(caller, served);
            }
        } catch (IOException | InterruptedException e) {
            // The test has ended.
        }
    }

    private static void copy(Socket from, Socket to) {
        try {
            from.getInputStream().transferTo(to.getOutputStream());
        } catch (IOException e) {
            // The test has ended.
        }
    }
}
