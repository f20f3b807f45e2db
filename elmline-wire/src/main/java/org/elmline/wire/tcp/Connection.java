package org.elmline.wire.tcp;

import java.nio.channels.AsynchronousSocketChannel;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

import org.elmline.core.common.CallResult;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.timeline.HybridClock;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** One authenticated connection. The side that opened it sends calls; the answers return in any order. */
final class Connection {
    private final FrameChannel frames;
    private final Handshake handshake;
    private final PeerHandlers handlers;
    private final PeerLimits limits;
    private final HybridClock hybridClock;
    private final MonotonicClock clock;
    private final Consumer<Connection> onClose;
    private final AtomicLong nextCall = new AtomicLong();
    private final AtomicInteger callsBeingHandled = new AtomicInteger();
    private final Map<Long, CompletableFuture<CallResult<byte[]>>> callsInFlight = new ConcurrentHashMap<>();
    private final CompletableFuture<Boolean> ready = new CompletableFuture<>();
    private volatile boolean closed;
    private volatile long receivedAtNanos;
    private volatile long unansweredSinceNanos;

    Connection(
            AsynchronousSocketChannel socket,
            PeerKey key,
            Handshake.Side side,
            PeerHandlers handlers,
            PeerLimits limits,
            HybridClock hybridClock,
            MonotonicClock clock,
            Consumer<Connection> onClose) {
        this.handshake = new Handshake(key, side);
        this.handlers = handlers;
        this.limits = limits;
        this.hybridClock = hybridClock;
        this.clock = clock;
        this.receivedAtNanos = clock.nanos();
        this.unansweredSinceNanos = receivedAtNanos;
        this.onClose = onClose;
        this.frames = new FrameChannel(socket, limits, this::maxReceivedBytes, this::onFrame, this::onFramesClosed);
    }

    void start() {
        // The hello is queued before the first read, since the peer's hello triggers the proof, which must not precede
        // it.
        frames.send(handshake.hello());
        frames.start();
    }

    /** Completes with true once both sides are authenticated, with false when the connection ends before that. */
    CompletableFuture<Boolean> ready() {
        return ready;
    }

    boolean closed() {
        return closed;
    }

    void close(String why) {
        frames.close(why);
    }

    /** Sends a call; the result completes when the answer arrives or the connection ends. */
    PendingCall call(String channel, byte[] body) {
        long number = nextCall.incrementAndGet();
        CompletableFuture<CallResult<byte[]>> result = new CompletableFuture<>();
        if (callsInFlight.size() >= limits.maxCallsInFlight()) {
            result.complete(new CallResult.NotSent<>("too many unanswered calls"));
            return new PendingCall(result, () -> {});
        }
        callsInFlight.put(number, result);
        byte[] frame =
                Codecs.MESSAGE_PACK.encode(new Envelope(number, Envelope.Kind.CALL, channel, hybridClock.now(), body));
        if (!frames.send(frame)) {
            callsInFlight.remove(number);
            result.complete(new CallResult.NotSent<>("the connection is closed or its queue is full"));
        } else if (closed && callsInFlight.remove(number) != null) {
            result.complete(new CallResult.Unknown<>("the connection closed"));
        }
        return new PendingCall(result, () -> callsInFlight.remove(number));
    }

    /** Sends a call whose answer is ignored; returns false when it could not be queued. */
    boolean send(String channel, byte[] body) {
        if (receivedAtNanos - unansweredSinceNanos >= 0) {
            unansweredSinceNanos = clock.nanos();
        }
        long number = nextCall.incrementAndGet();
        return frames.send(
                Codecs.MESSAGE_PACK.encode(new Envelope(number, Envelope.Kind.CALL, channel, hybridClock.now(), body)));
    }

    /** Time for which messages have been sent and no frame received, in nanoseconds. */
    long silentNanos() {
        return receivedAtNanos - unansweredSinceNanos >= 0 ? 0 : clock.nanos() - unansweredSinceNanos;
    }

    /** A call in flight; {@code discard} removes it from the connection, so that a late answer is ignored. */
    record PendingCall(CompletableFuture<CallResult<byte[]>> result, Runnable discard) {}

    /** Time at which the last frame was received, by the clock of the connection. */
    long receivedAtNanos() {
        return receivedAtNanos;
    }

    /** A peer that has not proved its key can make this process reserve no more than the handshake needs. */
    private int maxReceivedBytes() {
        return handshake.completed() ? limits.maxFrameBytes() : Handshake.MAX_FRAME_BYTES;
    }

    private void onFrame(byte[] frame) {
        receivedAtNanos = clock.nanos();
        if (!handshake.completed()) {
            continueHandshake(frame);
            return;
        }
        if (!(Codecs.MESSAGE_PACK.decode(frame, Envelope.class) instanceof Decoded.Value<Envelope> envelope)
                || envelope.value().kind() == null) {
            close("malformed envelope");
            return;
        }
        if (envelope.value().stamp() != null) {
            hybridClock.merge(envelope.value().stamp());
        }
        dispatch(envelope.value());
    }

    private void continueHandshake(byte[] frame) {
        Handshake.Step step = handshake.receive(frame);
        if (step instanceof Handshake.Step.Send send) {
            frames.send(send.frame());
        } else if (step instanceof Handshake.Step.Fail fail) {
            close(fail.reason());
        } else {
            ready.complete(true);
        }
    }

    private void dispatch(Envelope envelope) {
        switch (envelope.kind()) {
            case CALL -> handle(envelope);
            case ANSWER -> complete(envelope, new CallResult.Answered<>(envelope.body()));
            case REFUSED -> complete(envelope, new CallResult.NotSent<>(envelope.channel()));
            case FAILED -> complete(envelope, new CallResult.Unknown<>(envelope.channel()));
            default -> close("unknown kind of frame");
        }
    }

    private void complete(Envelope envelope, CallResult<byte[]> result) {
        CompletableFuture<CallResult<byte[]>> pending = callsInFlight.remove(envelope.call());
        if (pending != null) {
            pending.complete(result);
        }
    }

    private void handle(Envelope call) {
        if (callsBeingHandled.incrementAndGet() > limits.maxCallsInFlight()) {
            callsBeingHandled.decrementAndGet();
            reply(call, Envelope.Kind.REFUSED, "too many calls at once", new byte[0]);
            return;
        }
        handlers.handle(call.channel(), call.body()).whenComplete((answer, failure) -> {
            callsBeingHandled.decrementAndGet();
            if (failure != null) {
                reply(call, Envelope.Kind.FAILED, "the handler failed", new byte[0]);
            } else if (answer instanceof PeerHandlers.Answer.Refused refused) {
                reply(call, Envelope.Kind.REFUSED, refused.reason(), new byte[0]);
            } else if (answer instanceof PeerHandlers.Answer.Body body) {
                reply(call, Envelope.Kind.ANSWER, "", body.bytes());
            }
        });
    }

    private void reply(Envelope call, Envelope.Kind kind, String why, byte[] body) {
        boolean sent =
                frames.send(Codecs.MESSAGE_PACK.encode(new Envelope(call.call(), kind, why, hybridClock.now(), body)));
        if (!sent) {
            // The close ends the peer's call. Without it, a peer that doesn't read its answers would wait for one that
            // is never sent.
            close("answer could not be queued");
        }
    }

    private void onFramesClosed(String why) {
        closed = true;
        ready.complete(false);
        for (Long number : callsInFlight.keySet()) {
            CompletableFuture<CallResult<byte[]>> pending = callsInFlight.remove(number);
            if (pending != null) {
                pending.complete(new CallResult.Unknown<>("the connection closed: " + why));
            }
        }
        onClose.accept(this);
    }
}
