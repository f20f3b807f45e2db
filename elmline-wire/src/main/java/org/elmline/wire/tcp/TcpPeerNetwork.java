package org.elmline.wire.tcp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousChannelGroup;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.peer.Channel;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.timeline.HybridClock;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;
import org.elmline.wire.shape.UnusableValue;

/**
 * Calls other elmline processes over one connection per address, which is opened on first use and reopened after a
 * loss.
 *
 * <p>Every call is bounded by its timeout from the moment it is made, the time to connect included, so a peer that
 * became unreachable without an error costs its callers no more than that.
 */
public final class TcpPeerNetwork implements PeerNetwork, AutoCloseable {
    /**
     * Several tens of times the longest round trip. The first packet to a host without power is lost, and the
     * kernel retransmits it only after seconds; a new attempt reaches a host that has come back at once.
     */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(700);

    /**
     * Longest handshake on a connection that the peer's kernel has accepted. A host that has just started gets the
     * connections of all other hosts at once and works through their handshakes for seconds; if they were given up
     * sooner and started again, it would be busy with those given up and complete none.
     */
    private static final Duration HANDSHAKE_TIMEOUT = Duration.ofSeconds(4);

    /**
     * Time without a received frame after which a connection with an unanswered call counts as dead. With a shorter
     * time, a host that stalls for a moment, or is busy for a second after its start, would lose the connections of all
     * its callers, the votes and answers on them too, and then be busy with their handshakes.
     */
    private static final Duration DEAD_CONNECTION_TIMEOUT = Duration.ofMillis(1_500);

    /**
     * Delay of a check from which on this process itself must have stalled: frames that came in the meantime may wait
     * in the kernel, and the check may run before the thread that reads them.
     */
    private static final Duration STALL_THRESHOLD = Duration.ofMillis(100);

    /** Time for reading those frames before the last check. */
    private static final Duration CATCH_UP_TIME = Duration.ofMillis(200);

    /** Messages that wait for the connection to one address; later ones are dropped, as they would arrive in one burst. */
    private static final int MAX_WAITING_MESSAGES = 8;

    private final PeerKey key;
    private final PeerLimits limits;
    private final AsynchronousChannelGroup group;
    private final ScheduledExecutorService timer;
    private final Executor workers;
    private final HybridClock hybridClock;
    private final MonotonicClock clock;
    private final PeerHandlers noHandlers;
    private final Map<Address, PeerLink> links = new ConcurrentHashMap<>();
    private volatile boolean closed;

    /** @param workers completes all calls, with or without an answer */
    public TcpPeerNetwork(
            PeerKey key,
            PeerLimits limits,
            AsynchronousChannelGroup group,
            ScheduledExecutorService timer,
            Executor workers,
            HybridClock hybridClock) {
        this(key, limits, group, timer, workers, hybridClock, System::nanoTime);
    }

    /** @param clock measures how long a connection is silent; delays run by the timer's own clock */
    TcpPeerNetwork(
            PeerKey key,
            PeerLimits limits,
            AsynchronousChannelGroup group,
            ScheduledExecutorService timer,
            Executor workers,
            HybridClock hybridClock,
            MonotonicClock clock) {
        this.key = key;
        this.limits = limits;
        this.group = group;
        this.timer = timer;
        this.workers = workers;
        this.hybridClock = hybridClock;
        this.clock = clock;
        this.noHandlers = new PeerHandlers(workers);
    }

    @Override
    public <Q, R> CompletableFuture<CallResult<R>> call(
            Address to, Channel<Q, R> channel, Q request, Duration timeout) {
        CompletableFuture<CallResult<R>> result = new CompletableFuture<>();
        if (closed) {
            result.complete(new CallResult.NotSent<>("stopping"));
            return result;
        }
        byte[] body = Codecs.MESSAGE_PACK.encode(request);
        OutgoingCall<R> outgoing = new OutgoingCall<>(channel.response(), result);
        if (!outgoing.scheduleTimeout(timeout)) {
            return result;
        }
        links.computeIfAbsent(to, PeerLink::new)
                .connection()
                .whenComplete((connection, failure) -> outgoing.send(connection, channel.name(), body));
        return result;
    }

    @Override
    public <Q> boolean send(Address to, Channel<Q, ?> channel, Q message) {
        if (closed) {
            return false;
        }
        byte[] body = Codecs.MESSAGE_PACK.encode(message);
        return links.computeIfAbsent(to, PeerLink::new).send(new WaitingMessage(channel.name(), body));
    }

    /** Closes the connection to an address that has left the deployment and releases its resources. */
    public void disconnect(Address address) {
        PeerLink link = links.remove(address);
        if (link != null) {
            link.close();
        }
    }

    @Override
    public void close() {
        closed = true;
        links.values().forEach(PeerLink::close);
        links.clear();
    }

    /** One call from its start to its single completion. */
    private final class OutgoingCall<R> {
        private final Class<R> type;
        private final CompletableFuture<CallResult<R>> result;
        private ScheduledFuture<?> timeoutTask;
        private boolean sent;
        private boolean completed;
        private Runnable discardPending = () -> {};
        private Connection usedConnection;
        private long sentAtNanos;
        private volatile long timeoutAtNanos;

        OutgoingCall(Class<R> type, CompletableFuture<CallResult<R>> result) {
            this.type = type;
            this.result = result;
        }

        /** Returns false when this process is stopping; the call is completed then. */
        boolean scheduleTimeout(Duration timeout) {
            timeoutAtNanos = clock.nanos() + TimeUnit.MILLISECONDS.toNanos(timeout.toMillis());
            try {
                ScheduledFuture<?> scheduled =
                        timer.schedule(this::onTimeout, timeout.toMillis(), TimeUnit.MILLISECONDS);
                synchronized (this) {
                    timeoutTask = scheduled;
                }
                return true;
            } catch (RejectedExecutionException e) {
                complete(new CallResult.NotSent<>("stopping"));
                return false;
            }
        }

        void send(Connection connection, String channel, byte[] body) {
            synchronized (this) {
                if (completed) {
                    return;
                }
                sent = connection != null;
                usedConnection = connection;
                sentAtNanos = clock.nanos();
            }
            if (connection == null) {
                completeOnWorker(new CallResult.NotSent<>("no connection"));
                return;
            }
            Connection.PendingCall pending = connection.call(channel, body);
            boolean alreadyCompleted;
            synchronized (this) {
                discardPending = pending.discard();
                alreadyCompleted = completed;
            }
            if (alreadyCompleted) {
                pending.discard().run();
                return;
            }
            pending.result().whenCompleteAsync((answer, failure) -> complete(decode(answer)), workers);
        }

        void onTimeout() {
            boolean wasSent;
            Connection connectionToCheck = null;
            long sentNanos;
            synchronized (this) {
                wasSent = sent;
                sentNanos = sentAtNanos;
                if (sent && !completed) {
                    connectionToCheck = usedConnection;
                }
            }
            if (connectionToCheck != null) {
                closeIfUnresponsive(
                        connectionToCheck, sentNanos, sentNanos + DEAD_CONNECTION_TIMEOUT.toNanos(), timeoutAtNanos);
            }
            completeOnWorker(
                    wasSent ? new CallResult.Unknown<>("timed out") : new CallResult.NotSent<>("timed out connecting"));
        }

        /** Callers rely on one executor for all that follows a call, as their state may belong to its thread. */
        private void completeOnWorker(CallResult<R> outcome) {
            try {
                workers.execute(() -> complete(outcome));
            } catch (RejectedExecutionException e) {
                // This process is stopping.
                complete(outcome);
            }
        }

        private void complete(CallResult<R> outcome) {
            Runnable discardTask;
            ScheduledFuture<?> scheduled;
            synchronized (this) {
                if (completed) {
                    return;
                }
                completed = true;
                discardTask = discardPending;
                scheduled = timeoutTask;
            }
            if (scheduled != null) {
                scheduled.cancel(false);
            }
            discardTask.run();
            result.complete(outcome);
        }

        private CallResult<R> decode(CallResult<byte[]> answer) {
            if (answer instanceof CallResult.NotSent<byte[]> notSent) {
                return new CallResult.NotSent<>(notSent.reason());
            }
            if (answer instanceof CallResult.Unknown<byte[]> unknown) {
                return new CallResult.Unknown<>(unknown.reason());
            }
            byte[] body = ((CallResult.Answered<byte[]>) answer).value();
            Decoded<R> decoded = Codecs.MESSAGE_PACK.decode(body, type);
            if (decoded instanceof Decoded.Value<R> value) {
                return new CallResult.Answered<>(value.value());
            }
            String why = ((Decoded.Malformed<R>) decoded).reason();
            UnusableValue.log(type, why);
            return new CallResult.Unknown<>("malformed answer: " + why);
        }
    }

    /**
     * Closes a connection on which no frame has been received since a call was sent on it. It may be dead without a
     * reset, and every later call on it would be lost too; a new connection costs a round trip.
     *
     * @param deadAtNanos time at which the connection counts as dead
     * @param dueNanos time for which this check was scheduled
     */
    private void closeIfUnresponsive(Connection connection, long sinceNanos, long deadAtNanos, long dueNanos) {
        if (connection.closed() || connection.receivedAtNanos() - sinceNanos >= 0) {
            return;
        }
        long nowNanos = clock.nanos();
        boolean late = nowNanos - dueNanos >= STALL_THRESHOLD.toNanos();
        boolean extended = deadAtNanos != sinceNanos + DEAD_CONNECTION_TIMEOUT.toNanos();
        long nextNanos =
                late && !extended && nowNanos - deadAtNanos >= 0 ? nowNanos + CATCH_UP_TIME.toNanos() : deadAtNanos;
        if (nextNanos - nowNanos <= 0) {
            connection.close("silent for the time of a call");
            return;
        }
        try {
            timer.schedule(
                    () -> closeIfUnresponsive(connection, sinceNanos, nextNanos, nextNanos),
                    nextNanos - nowNanos,
                    TimeUnit.NANOSECONDS);
        } catch (RejectedExecutionException e) {
            connection.close("stopping");
        }
    }

    private record WaitingMessage(String channel, byte[] body) {
        boolean sendOn(Connection connection) {
            return connection != null && connection.send(channel, body);
        }
    }

    /** The connection to one address, opened on demand. */
    private final class PeerLink {
        private final Address address;
        private final List<WaitingMessage> waitingMessages = new ArrayList<>();
        private CompletableFuture<Connection> currentConnection;

        PeerLink(Address address) {
            this.address = address;
        }

        synchronized CompletableFuture<Connection> connection() {
            if (currentConnection != null && !isUnusable(currentConnection)) {
                return currentConnection;
            }
            currentConnection = open();
            return currentConnection;
        }

        synchronized boolean send(WaitingMessage message) {
            closeIfSilent();
            CompletableFuture<Connection> opened = connection();
            if (opened.isDone() && waitingMessages.isEmpty()) {
                return message.sendOn(opened.getNow(null));
            }
            if (waitingMessages.size() >= MAX_WAITING_MESSAGES) {
                return false;
            }
            waitingMessages.add(message);
            if (waitingMessages.size() == 1) {
                opened.thenAccept(this::sendWaiting);
            }
            return true;
        }

        private void closeIfSilent() {
            Connection connection = currentConnection == null ? null : currentConnection.getNow(null);
            if (connection != null && connection.silentNanos() >= DEAD_CONNECTION_TIMEOUT.toNanos()) {
                connection.close("silent after messages");
            }
        }

        private synchronized void sendWaiting(Connection connection) {
            waitingMessages.forEach(each -> each.sendOn(connection));
            waitingMessages.clear();
        }

        synchronized void close() {
            if (currentConnection != null) {
                currentConnection.thenAccept(each -> {
                    if (each != null) {
                        each.close("stopping");
                    }
                });
            }
        }

        private boolean isUnusable(CompletableFuture<Connection> future) {
            if (!future.isDone()) {
                return false;
            }
            Connection connection = future.getNow(null);
            return connection == null || connection.closed();
        }

        /** Completes with null when the other side can't be reached. */
        private CompletableFuture<Connection> open() {
            CompletableFuture<Connection> opened = new CompletableFuture<>();
            AsynchronousSocketChannel socket;
            try {
                socket = AsynchronousSocketChannel.open(group);
            } catch (IOException e) {
                opened.complete(null);
                return opened;
            }
            SocketOptions.apply(socket);
            connect(socket, opened);
            return opened;
        }

        private void connect(AsynchronousSocketChannel socket, CompletableFuture<Connection> opened) {
            InetSocketAddress target = new InetSocketAddress(address.ip(), address.port());
            ScheduledFuture<?> connectTimeout = abandonAfter(CONNECT_TIMEOUT, socket, opened);
            socket.connect(target, null, new CompletionHandler<Void, Void>() {
                @Override
                public void completed(Void done, Void attachment) {
                    connectTimeout.cancel(false);
                    abandonAfter(HANDSHAKE_TIMEOUT, socket, opened);
                    Connection connection = new Connection(
                            socket, key, Handshake.Side.CLIENT, noHandlers, limits, hybridClock, clock, each -> {});
                    connection.ready().thenAccept(authenticated -> opened.complete(authenticated ? connection : null));
                    connection.start();
                }

                @Override
                public void failed(Throwable e, Void attachment) {
                    abandon(socket, opened);
                }
            });
        }

        private ScheduledFuture<?> abandonAfter(
                Duration time, AsynchronousSocketChannel socket, CompletableFuture<Connection> opened) {
            return timer.schedule(() -> abandon(socket, opened), time.toMillis(), TimeUnit.MILLISECONDS);
        }

        private void abandon(AsynchronousSocketChannel socket, CompletableFuture<Connection> opened) {
            if (!opened.complete(null)) {
                return;
            }
            try {
                socket.close();
            } catch (IOException e) {
                // The socket is not used again either way.
            }
        }
    }
}
