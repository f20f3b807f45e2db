package org.elmline.daemon.backend;

import java.util.Collection;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.backend.Announcement;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.daemon.http.BearerKey;
import org.elmline.daemon.http.JsonResponses;
import org.elmline.daemon.http.WorkerBodyReader;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/**
 * {@code POST /v1/backend-servers/announce}: accepts the announcement of a backend server; the answer gives the
 * interval of announcements and the addresses to send them to.
 */
public final class AnnounceHandler implements HttpHandler {
    private final Collection<String> keys;
    private final WorkerBodyReader bodyReader;
    private final OwnerService owners;

    public AnnounceHandler(Collection<String> keys, WorkerBodyReader bodyReader, OwnerService owners) {
        this.keys = keys;
        this.bodyReader = bodyReader;
        this.owners = owners;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (!BearerKey.matchesAny(exchange, keys)) {
            JsonResponses.sendRefusal(
                    exchange, Refusal.didNotRun(RefusalReason.UNAUTHENTICATED, "not a key of backend servers"));
            return;
        }
        bodyReader.read(exchange, body -> announce(exchange, body));
    }

    private void announce(HttpServerExchange exchange, byte[] body) {
        Decoded<Announcement> decoded = Codecs.JSON.decode(body, Announcement.class);
        if (decoded instanceof Decoded.Malformed<Announcement> malformed) {
            JsonResponses.sendRefusal(exchange, Refusal.didNotRun(RefusalReason.BAD_REQUEST, malformed.reason()));
            return;
        }
        Announcement announcement = ((Decoded.Value<Announcement>) decoded).value();
        exchange.dispatch(Runnable::run, () -> owners.handleAnnouncement(announcement)
                .thenAccept(answer -> JsonResponses.send(exchange, answer)));
    }
}
