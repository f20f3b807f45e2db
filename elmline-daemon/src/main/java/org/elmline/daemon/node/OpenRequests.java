package org.elmline.daemon.node;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * The requests of all ports that are not answered yet, at most one for each connection. A request is open from its head to
 * the moment at which the socket has accepted the last byte of its answer, or its connection is closed. Safe for use by
 * many threads.
 */
public final class OpenRequests {
    private static final AttachmentKey<Boolean> HAS_CLOSE_LISTENER = AttachmentKey.create(Boolean.class);

    private final Map<ServerConnection, HttpServerExchange> open = new ConcurrentHashMap<>();
    private final AtomicLong received = new AtomicLong();
    private volatile boolean closesConnections;

    /** Returns a handler that counts the requests of another one as open until they are answered. */
    public HttpHandler track(HttpHandler handler) {
        return exchange -> {
            add(exchange);
            handler.handleRequest(exchange);
        };
    }

    /** Lets each answer that begins from now on end its connection, so that the caller sends no further request there. */
    public void closeConnectionsAfterAnswers() {
        closesConnections = true;
    }

    private void add(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        open.put(connection, exchange);
        received.incrementAndGet();
        exchange.addResponseCommitListener(this::onAnswerBegins);
        exchange.addExchangeCompleteListener((ended, next) -> {
            open.remove(connection, ended);
            next.proceed();
        });
        if (connection.putAttachment(HAS_CLOSE_LISTENER, true) == null) {
            connection.addCloseListener(open::remove);
        }
    }

    private void onAnswerBegins(HttpServerExchange exchange) {
        if (closesConnections) {
            exchange.setPersistent(false);
        }
    }

    public boolean isEmpty() {
        return open.isEmpty();
    }

    public int size() {
        return open.size();
    }

    /** Number of requests that were received so far. */
    public long received() {
        return received.get();
    }

    /** The requests that are not answered. */
    public List<HttpServerExchange> all() {
        return List.copyOf(open.values());
    }
}
