package org.elmline.daemon.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;

import org.elmline.core.common.Closer;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.timeline.HybridClock;
import org.elmline.daemon.runtime.ProcessExecutors;
import org.elmline.wire.tcp.PeerHandlers;
import org.elmline.wire.tcp.PeerKey;
import org.elmline.wire.tcp.PeerLimits;
import org.elmline.wire.tcp.TcpPeerNetwork;
import org.elmline.wire.tcp.TcpPeerServer;

/** The server and client side of a process's communication with other elmline processes. */
public final class PeerEndpoint implements AutoCloseable {
    private final Closer closer = new Closer();
    private final ProcessExecutors workers;
    private final PeerHandlers handlers;
    private final TcpPeerNetwork network;

    /**
     * Opens the peer port.
     *
     * @param role name of the process's role, used in the names of its threads
     * @param executor runs the handlers and the completions of calls
     * @throws IOException if the port cannot be bound
     */
    public PeerEndpoint(NodeSettings settings, String role, Executor executor, HybridClock clock) throws IOException {
        workers = closer.register(new ProcessExecutors(role, 1));
        handlers = new PeerHandlers(executor);
        PeerKey key = new PeerKey(settings.peerKey());
        InetSocketAddress bind = new InetSocketAddress(settings.ip(), settings.peerPort());
        try {
            closer.register(TcpPeerServer.start(
                    bind, handlers, key, PeerLimits.DEFAULT, workers.channelGroup(), workers.timer(), clock));
        } catch (IOException e) {
            closer.close();
            throw e;
        }
        network = closer.register(
                new TcpPeerNetwork(key, PeerLimits.DEFAULT, workers.channelGroup(), workers.timer(), executor, clock));
    }

    public HandlerRegistry handlers() {
        return handlers;
    }

    public TcpPeerNetwork network() {
        return network;
    }

    public ScheduledExecutorService timer() {
        return workers.timer();
    }

    @Override
    public void close() {
        closer.close();
    }
}
