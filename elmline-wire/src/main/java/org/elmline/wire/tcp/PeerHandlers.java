package org.elmline.wire.tcp;

import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;

import org.elmline.core.peer.Channel;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerHandler;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;
import org.elmline.wire.shape.UnusableValue;

/** The channels a process serves, and the workers that run their handlers. */
public final class PeerHandlers implements HandlerRegistry {
    private final Map<String, RegisteredHandler<?, ?>> handlersByChannel = new ConcurrentHashMap<>();
    private final Executor workers;

    public PeerHandlers(Executor workers) {
        this.workers = workers;
    }

    @Override
    public <Q, R> void register(Channel<Q, R> channel, PeerHandler<Q, R> handler) {
        add(new RegisteredHandler<>(channel, handler, workers));
    }

    @Override
    public <Q, R> void registerImmediate(Channel<Q, R> channel, PeerHandler<Q, R> handler) {
        add(new RegisteredHandler<>(channel, handler, Runnable::run));
    }

    private void add(RegisteredHandler<?, ?> registered) {
        String name = registered.channel().name();
        if (handlersByChannel.putIfAbsent(name, registered) != null) {
            throw new IllegalStateException("channel " + name + " is registered twice");
        }
    }

    CompletableFuture<Answer> handle(String channel, byte[] body) {
        RegisteredHandler<?, ?> registered = channel == null ? null : handlersByChannel.get(channel);
        if (registered == null) {
            return CompletableFuture.completedFuture(new Answer.Refused("unknown channel " + channel));
        }
        try {
            return CompletableFuture.supplyAsync(() -> registered.run(body), registered.executor())
                    .thenCompose(stage -> stage);
        } catch (RejectedExecutionException e) {
            return CompletableFuture.completedFuture(new Answer.Refused("too busy"));
        }
    }

    /** Result of handling one call. */
    sealed interface Answer {
        /** The handler's answer, encoded. */
        record Body(byte[] bytes) implements Answer {}

        /** The call was not handled at all. */
        record Refused(String reason) implements Answer {}
    }

    private record RegisteredHandler<Q, R>(Channel<Q, R> channel, PeerHandler<Q, R> handler, Executor executor) {
        CompletionStage<Answer> run(byte[] body) {
            Decoded<Q> decoded = Codecs.MESSAGE_PACK.decode(body, channel.request());
            if (decoded instanceof Decoded.Value<Q> request) {
                return handler.handle(request.value())
                        .thenApply(answer -> new Answer.Body(Codecs.MESSAGE_PACK.encode(answer)));
            }
            String why = ((Decoded.Malformed<Q>) decoded).reason();
            UnusableValue.log(channel.request(), why);
            return CompletableFuture.completedFuture(new Answer.Refused("malformed " + channel.name() + ": " + why));
        }
    }
}
