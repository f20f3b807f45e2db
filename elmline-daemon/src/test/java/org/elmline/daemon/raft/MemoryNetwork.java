package org.elmline.daemon.raft;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.peer.Channel;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerHandler;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** Calls between hosts in one process; each request goes through the codec of the real network. */
final class MemoryNetwork implements PeerNetwork {
    private final Map<Address, Map<String, PeerHandler<?, ?>>> hosts = new ConcurrentHashMap<>();

    HandlerRegistry host(Address address) {
        Map<String, PeerHandler<?, ?>> handlers = new ConcurrentHashMap<>();
        hosts.put(address, handlers);
        return new HandlerRegistry() {
            @Override
            public <Q, R> void register(Channel<Q, R> channel, PeerHandler<Q, R> handler) {
                handlers.put(channel.name(), handler);
            }

            @Override
            public <Q, R> void registerImmediate(Channel<Q, R> channel, PeerHandler<Q, R> handler) {
                register(channel, handler);
            }
        };
    }

    void disconnect(Address address) {
        hosts.remove(address);
    }

    @Override
    public <Q> boolean send(Address to, Channel<Q, ?> channel, Q message) {
        return !(call(to, channel, message, Duration.ZERO).getNow(null) instanceof CallResult.NotSent<?>);
    }

    @Override
    @SuppressWarnings("unchecked")
    public <Q, R> CompletableFuture<CallResult<R>> call(
            Address to, Channel<Q, R> channel, Q request, Duration timeout) {
        PeerHandler<Q, R> handler =
                (PeerHandler<Q, R>) hosts.getOrDefault(to, Map.of()).get(channel.name());
        if (handler == null) {
            return CompletableFuture.completedFuture(new CallResult.NotSent<>("down"));
        }
        Decoded<Q> copy = Codecs.MESSAGE_PACK.decode(Codecs.MESSAGE_PACK.encode(request), channel.request());
        return handler.handle(((Decoded.Value<Q>) copy).value())
                .toCompletableFuture()
                .thenApply(answer -> new CallResult.Answered<>(answer));
    }
}
