package org.elmline.daemon.backend;

import java.util.Map;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.concurrent.ConcurrentHashMap;

import org.elmline.core.common.Address;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.EngineProtocol;

/**
 * The clients of engines, one for each protocol and address, created by the plug-in that the engine's announcement
 * names. Thread-safe.
 */
public final class EngineClients implements AutoCloseable {
    private final Map<String, EngineProtocol> protocols = new ConcurrentHashMap<>();
    private final Map<Key, EngineClient> clients = new ConcurrentHashMap<>();

    private record Key(String protocol, Address address) {}

    public EngineClients() {
        for (EngineProtocol each : ServiceLoader.load(EngineProtocol.class)) {
            protocols.put(each.name(), each);
        }
    }

    /** Empty when no plug-in implements the protocol. */
    public Optional<EngineClient> client(String protocol, Address address) {
        EngineProtocol plugIn = protocols.get(protocol);
        if (plugIn == null) {
            return Optional.empty();
        }
        return Optional.of(clients.computeIfAbsent(new Key(protocol, address), key -> plugIn.connect(address)));
    }

    /** Closes the client of an engine that is gone. */
    public void remove(String protocol, Address address) {
        EngineClient client = clients.remove(new Key(protocol, address));
        if (client != null) {
            client.close();
        }
    }

    @Override
    public void close() {
        clients.values().forEach(EngineClient::close);
        for (EngineProtocol each : protocols.values()) {
            closeProtocol(each);
        }
    }

    private static void closeProtocol(EngineProtocol protocol) {
        if (!(protocol instanceof AutoCloseable closeable)) {
            return;
        }
        try {
            closeable.close();
        } catch (Exception e) {
            throw new IllegalStateException("closing the engine protocol " + protocol.name() + " failed", e);
        }
    }
}
