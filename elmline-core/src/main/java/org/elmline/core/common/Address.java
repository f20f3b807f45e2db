package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** An IP address and TCP port, written {@code 127.0.0.1:8080}. */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65_535;

    public Address {
        if (ip == null || ip.isEmpty()) {
            throw new IllegalArgumentException("address without an IP");
        }
        if (port < 1 || port > MAX_PORT) {
            throw new IllegalArgumentException("port out of range: " + port);
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static Address parse(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not IP:PORT: '" + text + "'");
        }
        try {
            return new Address(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
        } catch (NumberFormatException e) {
            throw new IllegalArgumentException("not IP:PORT: '" + text + "'", e);
        }
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Address that && port == that.port && ip.equals(that.ip);
    }

    @Override
    public int hashCode() {
        return 31 * ip.hashCode() + port;
    }

    @JsonValue
    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
