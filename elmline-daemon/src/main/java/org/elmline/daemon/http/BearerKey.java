package org.elmline.daemon.http;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Collection;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.elmline.core.control.Sha256;

/** The key in {@code Authorization: Bearer KEY}. */
public final class BearerKey {
    private static final String PREFIX = "Bearer ";

    private BearerKey() {}

    public static Optional<String> of(HttpServerExchange exchange) {
        String header = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        if (header == null || !header.regionMatches(true, 0, PREFIX, 0, PREFIX.length())) {
            return Optional.empty();
        }
        String key = header.substring(PREFIX.length()).trim();
        return key.isEmpty() ? Optional.empty() : Optional.of(key);
    }

    /**
     * Whether the call carries one of the keys. Compares in constant time, so that response times reveal nothing about
     * the keys.
     */
    public static boolean matchesAny(HttpServerExchange exchange, Collection<String> keys) {
        byte[] presented = of(exchange).orElse("").getBytes(StandardCharsets.UTF_8);
        boolean found = false;
        for (String key : keys) {
            found |= MessageDigest.isEqual(key.getBytes(StandardCharsets.UTF_8), presented);
        }
        return found;
    }

    /** SHA-256 of a key in lower-case hexadecimal, as tickets carry it. */
    public static String hash(String key) {
        return Sha256.hex(key.getBytes(StandardCharsets.UTF_8));
    }
}
