package org.elmline.wire.tcp;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.ConsoleHandler;
import java.util.logging.Filter;
import java.util.logging.Handler;
import java.util.logging.Logger;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.Closer;
import org.elmline.core.peer.Channel;
import org.elmline.core.timeline.HybridClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TcpPeerNetworkTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);
    private static final HybridClock CLOCK = new HybridClock(System::currentTimeMillis);
    private static final String SECRET = "a peer key of tests";

    record Request(String text) {}

    record Reply(String text) {}

    private static final Channel<Request, Reply> ECHO = new Channel<>("test.echo", Request.class, Reply.class);
    private static final Channel<Request, Reply> UNANSWERED = new Channel<>("test.silent", Request.class, Reply.class);
    private static final Channel<Request, Reply> DELAYED = new Channel<>("test.late", Request.class, Reply.class);
    private static final Channel<Request, Reply> THROWS = new Channel<>("test.throws", Request.class, Reply.class);
    private static final Channel<Request, Reply> ABSENT = new Channel<>("test.absent", Request.class, Reply.class);

    private final Closer closer = new Closer();
    private final CompletableFuture<Reply> delayedReply = new CompletableFuture<>();
    private AsynchronousChannelGroup group;
    private ScheduledExecutorService timer;
    private ExecutorService workers;
    private TcpPeerServer server;
    private Address address;

    @BeforeEach
    void start() throws IOException {
        workers = Executors.newFixedThreadPool(4);
        timer = Executors.newScheduledThreadPool(1);
        group = AsynchronousChannelGroup.withFixedThreadPool(2, Thread::new);
        closer.register(group::shutdownNow);
        closer.register(timer::shutdownNow);
        closer.register(workers::shutdownNow);
        PeerHandlers handlers = new PeerHandlers(workers);
        handlers.register(ECHO, request -> CompletableFuture.completedFuture(new Reply(request.text())));
        handlers.register(UNANSWERED, request -> new CompletableFuture<>());
        handlers.register(DELAYED, request -> delayedReply);
        handlers.register(THROWS, request -> {
            throw new IllegalStateException("failure of the test handler");
        });
        server = closer.register(TcpPeerServer.start(
                loopback(), handlers, new PeerKey(SECRET), PeerLimits.DEFAULT, group, timer, CLOCK));
        address = server.address("127.0.0.1");
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    @Test
    void answersManyCallsAtOnce() throws Exception {
        TcpPeerNetwork network = network(SECRET, PeerLimits.DEFAULT);
        List<CompletableFuture<CallResult<Reply>>> results = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            results.add(network.call(address, ECHO, new Request("n" + i), LONG_TIMEOUT));
        }
        for (int i = 0; i < 500; i++) {
            assertEquals(new CallResult.Answered<>(new Reply("n" + i)), await(results.get(i)));
        }
    }

    record OtherRequest(List<String> text) {}

    record OtherReply(List<String> text) {}

    /** Guards against messages of another release that are rejected and leave no trace. */
    @Test
    void malformedRequestsAndAnswersAreLogged() throws Exception {
        List<String> lines = new CopyOnWriteArrayList<>();
        Logger logger = Logger.getLogger("org.elmline.wire");
        Filter collector = line -> lines.add(line.getMessage());
        Handler handler = new ConsoleHandler();
        handler.setFilter(collector);
        logger.addHandler(handler);
        TcpPeerNetwork network = network(SECRET, PeerLimits.DEFAULT);
        Channel<OtherRequest, Reply> otherRequest = new Channel<>("test.echo", OtherRequest.class, Reply.class);
        Channel<Request, OtherReply> otherReply = new Channel<>("test.echo", Request.class, OtherReply.class);
        CallResult<Reply> rejected =
                await(network.call(address, otherRequest, new OtherRequest(List.of("a", "b")), LONG_TIMEOUT));
        CallResult<OtherReply> unread = await(network.call(address, otherReply, new Request("x"), LONG_TIMEOUT));
        logger.removeHandler(handler);
        assertInstanceOf(CallResult.NotSent.class, rejected);
        assertInstanceOf(CallResult.Unknown.class, unread);
        assertEquals(2, lines.size(), lines.toString());
        assertTrue(lines.get(0).contains(Request.class.getName()), lines.get(0));
        assertTrue(lines.get(1).contains(OtherReply.class.getName()), lines.get(1));
    }

    @Test
    void reportsNotSentWhenNoProcessListens() throws Exception {
        Address unusedAddress;
        try (ServerSocket free = new ServerSocket(0)) {
            unusedAddress = new Address("127.0.0.1", free.getLocalPort());
        }
        assertInstanceOf(
                CallResult.NotSent.class,
                await(network(SECRET, PeerLimits.DEFAULT).call(unusedAddress, ECHO, new Request("x"), LONG_TIMEOUT)));
    }

    /** A host that is busy with the connections of all others gets ever more of them and completes none. */
    @Test
    void waitsForSlowHandshakeOnOneConnection() throws Exception {
        AtomicInteger accepted = new AtomicInteger();
        try (ServerSocket busyHost = new ServerSocket(0)) {
            workers.execute(() -> forwardAfter(Duration.ofSeconds(2), busyHost, accepted));
            Address busyAddress = new Address("127.0.0.1", busyHost.getLocalPort());
            TcpPeerNetwork network = network(SECRET, PeerLimits.DEFAULT);
            assertInstanceOf(
                    CallResult.NotSent.class, await(network.call(busyAddress, ECHO, new Request("x"), SHORT_TIMEOUT)));
            assertEquals(
                    new CallResult.Answered<>(new Reply("y")),
                    await(network.call(busyAddress, ECHO, new Request("y"), LONG_TIMEOUT)));
        }
        assertEquals(1, accepted.get());
    }

    /** After a long handshake a burst of outdated messages would keep the host busy. */
    @Test
    void limitsMessagesThatWaitForConnection() throws Exception {
        try (ServerSocket busyHost = new ServerSocket(0)) {
            Address busyAddress = new Address("127.0.0.1", busyHost.getLocalPort());
            TcpPeerNetwork network = network(SECRET, PeerLimits.DEFAULT);
            int accepted = 0;
            while (network.send(busyAddress, ECHO, new Request("x"))) {
                accepted++;
            }
            assertEquals(8, accepted);
        }
    }

    /** A connection may be dead without a reset; messages without a timeout would go on being sent on it for ever. */
    @Test
    void opensNewConnectionWhenMessagesGetNoFrameBack() throws Exception {
        TcpPeerNetwork network = network(SECRET, PeerLimits.DEFAULT);
        await(network.call(address, ECHO, new Request("connect first"), LONG_TIMEOUT));
        CompletableFuture<CallResult<Reply>> lost = network.call(address, UNANSWERED, new Request("x"), LONG_TIMEOUT);
        timer.scheduleWithFixedDelay(
                () -> network.send(address, UNANSWERED, new Request("x")), 0, 100, TimeUnit.MILLISECONDS);
        assertEquals(new CallResult.Unknown<>("the connection closed: silent after messages"), await(lost));
        assertInstanceOf(CallResult.Answered.class, await(network.call(address, ECHO, new Request("y"), LONG_TIMEOUT)));
    }

    /** Accepts connections; the first byte of each reaches the server after this time. */
    private void forwardAfter(Duration delay, ServerSocket from, AtomicInteger accepted) {
        try {
            while (true) {
                Socket caller = from.accept();
                accepted.incrementAndGet();
                Thread.sleep(delay.toMillis());
                Socket served = new Socket("127.0.0.1", server.port());
                workers.execute(() -> copy(caller, served));
                workers.execute(() -> copy(served, caller));
            }
        } catch (IOException | InterruptedException e) {
            // The test has ended.
        }
    }

    private static void copy(Socket from, Socket to) {
        try (from;
                to) {
            from.getInputStream().transferTo(to.getOutputStream());
        } catch (IOException e) {
            // One side closed its connection, which ends the other one too.
        }
    }

    @Test
    void reportsNotSentForAWrongKey() throws Exception {
        TcpPeerNetwork network = network("another key of tests", PeerLimits.DEFAULT);
        assertInstanceOf(CallResult.NotSent.class, await(network.call(address, ECHO, new Request("x"), LONG_TIMEOUT)));
    }

    @Test
    void reportsNotSentForAnUnknownChannel() throws Exception {
        CallResult<Reply> result =
                await(network(SECRET, PeerLimits.DEFAULT).call(address, ABSENT, new Request("x"), LONG_TIMEOUT));
        assertEquals(new CallResult.NotSent<>("unknown channel test.absent"), result);
    }

    @Test
    void reportsUnknownWhenTheHandlerFails() throws Exception {
        assertInstanceOf(
                CallResult.Unknown.class,
                await(network(SECRET, PeerLimits.DEFAULT).call(address, THROWS, new Request("x"), LONG_TIMEOUT)));
    }

    @Test
    void reportsUnknownWhenTheCallTimesOut() throws Exception {
        assertInstanceOf(
                CallResult.Unknown.class,
                await(network(SECRET, PeerLimits.DEFAULT).call(address, UNANSWERED, new Request("x"), SHORT_TIMEOUT)));
    }

    /**
     * A process stops before it answers a call. The connection closes, and the caller must be notified at once that the
     * call may have run, neither after its timeout nor with the result that the call did not run.
     */
    @Test
    void reportsUnknownWhenTheConnectionCloses() throws Exception {
        CompletableFuture<CallResult<Reply>> pending =
                network(SECRET, PeerLimits.DEFAULT).call(address, UNANSWERED, new Request("x"), LONG_TIMEOUT);
        await(network(SECRET, PeerLimits.DEFAULT).call(address, ECHO, new Request("x"), LONG_TIMEOUT));
        server.close();
        assertInstanceOf(CallResult.Unknown.class, await(pending));
    }

    /** Votes that wait behind the polls of all other hosts come after the election's timeout. */
    @Test
    void immediateHandlerAnswersWhileAllWorkersAreBusy() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        ExecutorService busyWorker = Executors.newSingleThreadExecutor();
        closer.register(busyWorker::shutdownNow);
        busyWorker.execute(() -> awaitUnchecked(released));
        PeerHandlers handlers = new PeerHandlers(busyWorker);
        handlers.register(ECHO, request -> CompletableFuture.completedFuture(new Reply("waited")));
        handlers.registerImmediate(DELAYED, request -> CompletableFuture.completedFuture(new Reply(request.text())));
        TcpPeerServer busy = closer.register(TcpPeerServer.start(
                loopback(), handlers, new PeerKey(SECRET), PeerLimits.DEFAULT, group, timer, CLOCK));
        TcpPeerNetwork network = network(SECRET, PeerLimits.DEFAULT);
        Address busyAddress = busy.address("127.0.0.1");
        CompletableFuture<CallResult<Reply>> waiting = network.call(busyAddress, ECHO, new Request("x"), LONG_TIMEOUT);
        assertEquals(
                new CallResult.Answered<>(new Reply("vote")),
                await(network.call(busyAddress, DELAYED, new Request("vote"), LONG_TIMEOUT)));
        released.countDown();
        assertEquals(new CallResult.Answered<>(new Reply("waited")), await(waiting));
    }

    private static void awaitUnchecked(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against a host that stalls for a moment and loses the connections of all its callers. */
    @Test
    void keepsConnectionAfterAShortTimeout() throws Exception {
        Duration timeout = Duration.ofMillis(1_400);
        assertAnsweredAfterTimeout(timeout, timeout);
    }

    /** Guards against a process that stalls and then closes connections before it has read the answers on them. */
    @Test
    void keepsConnectionWhoseCheckIsLate() throws Exception {
        assertAnsweredAfterTimeout(Duration.ofMillis(50), Duration.ofSeconds(10));
    }

    /** By the network's clock, this time passes until a call times out; then another call is answered. */
    private void assertAnsweredAfterTimeout(Duration timeout, Duration passed) throws Exception {
        AtomicLong nanos = new AtomicLong();
        TcpPeerNetwork network = closer.register(
                new TcpPeerNetwork(new PeerKey(SECRET), PeerLimits.DEFAULT, group, timer, workers, CLOCK, nanos::get));
        await(network.call(address, ECHO, new Request("connect first"), LONG_TIMEOUT));
        nanos.incrementAndGet();
        CompletableFuture<CallResult<Reply>> answered = network.call(address, DELAYED, new Request("x"), LONG_TIMEOUT);
        CompletableFuture<CallResult<Reply>> lost = network.call(address, UNANSWERED, new Request("x"), timeout);
        nanos.addAndGet(passed.toNanos());
        assertInstanceOf(CallResult.Unknown.class, await(lost));
        delayedReply.complete(new Reply("x"));
        assertInstanceOf(CallResult.Answered.class, await(answered));
    }

    /** Guards against calls that are lost one after the other on a connection that is dead without a reset. */
    @Test
    void closesConnectionWithoutAnswers() throws Exception {
        TcpPeerNetwork network = network(SECRET, PeerLimits.DEFAULT);
        await(network.call(address, ECHO, new Request("connect first"), LONG_TIMEOUT));
        CompletableFuture<CallResult<Reply>> lost = network.call(address, UNANSWERED, new Request("x"), LONG_TIMEOUT);
        await(network.call(address, UNANSWERED, new Request("x"), Duration.ofMillis(50)));
        assertInstanceOf(CallResult.Unknown.class, await(lost), "its connection was closed");
        assertInstanceOf(CallResult.Answered.class, await(network.call(address, ECHO, new Request("y"), LONG_TIMEOUT)));
    }

    @Test
    void rejectsFrameOverTheLimitBeforeSending() throws Exception {
        PeerLimits small = new PeerLimits(1024, 4096, 10, 10, 10);
        CallResult<Reply> result =
                await(network(SECRET, small).call(address, ECHO, new Request("x".repeat(2000)), LONG_TIMEOUT));
        assertInstanceOf(CallResult.NotSent.class, result);
    }

    @Test
    void limitsCallsInFlight() throws Exception {
        TcpPeerNetwork network = network(SECRET, new PeerLimits(1024, 4096, 2, 10, 10));
        await(network.call(address, ECHO, new Request("connect first"), LONG_TIMEOUT));
        network.call(address, UNANSWERED, new Request("1"), LONG_TIMEOUT);
        network.call(address, UNANSWERED, new Request("2"), LONG_TIMEOUT);
        assertEquals(
                new CallResult.NotSent<>("too many unanswered calls"),
                await(network.call(address, ECHO, new Request("3"), LONG_TIMEOUT)));
    }

    @Test
    void reconnectsAfterDisconnect() throws Exception {
        TcpPeerNetwork network = network(SECRET, PeerLimits.DEFAULT);
        await(network.call(address, ECHO, new Request("x"), LONG_TIMEOUT));
        network.disconnect(address);
        assertInstanceOf(CallResult.Answered.class, await(network.call(address, ECHO, new Request("y"), LONG_TIMEOUT)));
    }

    /**
     * A program that is not an elmline process connects and sends garbage, or bytes that read as a frame of two
     * gigabytes. The server must close that connection without allocating the memory, and continue to serve others.
     */
    @Test
    void closesConnectionOnInvalidFrames() throws Exception {
        byte[][] inputs = {
            ByteBuffer.allocate(4).putInt(Integer.MAX_VALUE).array(),
            ByteBuffer.allocate(4).putInt(-1).array(),
            ByteBuffer.allocate(4).putInt(0).array(),
            {0, 0, 0, 3, 1, 2, 3},
            "GET / HTTP/1.1\r\n\r\n".getBytes()
        };
        int closed = 0;
        for (byte[] input : inputs) {
            try (Socket socket = new Socket("127.0.0.1", address.port())) {
                socket.setSoTimeout((int) LONG_TIMEOUT.toMillis());
                socket.getOutputStream().write(input);
                socket.getOutputStream().flush();
                readToEnd(socket);
                closed++;
            }
        }
        assertEquals(5, closed);
        assertInstanceOf(
                CallResult.Answered.class,
                await(network(SECRET, PeerLimits.DEFAULT).call(address, ECHO, new Request("x"), LONG_TIMEOUT)));
    }

    @Test
    void findsTheHighestCommonVersion() {
        byte[] nonce = new byte[Hello.NONCE_BYTES];
        Hello oldRelease = new Hello(Hello.MAGIC, 1, 2, nonce);
        Hello newRelease = new Hello(Hello.MAGIC, 2, 3, nonce);
        Hello nextRelease = new Hello(Hello.MAGIC, 3, 4, nonce);
        assertEquals(2, Hello.commonVersion(oldRelease, newRelease));
        assertEquals(3, Hello.commonVersion(newRelease, nextRelease));
        assertEquals(0, Hello.commonVersion(oldRelease, nextRelease));
        assertTrue(Hello.MIN_VERSION <= Hello.MAX_VERSION);
    }

    /** Returns when the other side has closed the connection; a read that times out fails the test. */
    private static void readToEnd(Socket socket) throws IOException {
        try {
            while (socket.getInputStream().read() >= 0) {
                // Skips the server's own hello, which comes first.
            }
        } catch (SocketException e) {
            // The kernel resets a connection that is closed with unread bytes.
        }
    }

    private TcpPeerNetwork network(String secret, PeerLimits limits) {
        return closer.register(new TcpPeerNetwork(new PeerKey(secret), limits, group, timer, workers, CLOCK));
    }

    private static InetSocketAddress loopback() {
        return new InetSocketAddress("127.0.0.1", 0);
    }

    private static <T> T await(CompletableFuture<T> future) throws Exception {
        return future.get(LONG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    /** Name of the thread that runs what follows a call, to an executor that begins to work once this is attached. */
    private String threadAfterCall(Address to, Channel<Request, Reply> channel) throws Exception {
        CountDownLatch attached = new CountDownLatch(1);
        ExecutorService executor = Executors.newSingleThreadExecutor(task -> new Thread(task, "executor"));
        closer.register(executor::shutdownNow);
        executor.execute(() -> awaitUninterruptibly(attached));
        TcpPeerNetwork network = closer.register(
                new TcpPeerNetwork(new PeerKey(SECRET), PeerLimits.DEFAULT, group, timer, executor, CLOCK));
        CompletableFuture<String> name = network.call(to, channel, new Request("a"), SHORT_TIMEOUT)
                .thenApply(each -> Thread.currentThread().getName());
        attached.countDown();
        return name.get(LONG_TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private static void awaitUninterruptibly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Guards against state of one thread that the result of a call without an answer changes on another one. */
    @Test
    void completesCallsThatTimeOutOnTheExecutor() throws Exception {
        assertEquals("executor", threadAfterCall(address, UNANSWERED));
    }

    /** The same where no connection can be opened. */
    @Test
    void completesCallsThatAreNotSentOnTheExecutor() throws Exception {
        int unused;
        try (ServerSocket socket = new ServerSocket(0)) {
            unused = socket.getLocalPort();
        }
        assertEquals("executor", threadAfterCall(new Address("127.0.0.1", unused), ECHO));
    }
}
