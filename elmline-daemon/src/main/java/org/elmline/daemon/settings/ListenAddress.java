package org.elmline.daemon.settings;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.elmline.core.common.Address;

/** Address on which a process listens, written {@code IP:port}. Port 0 selects any free port and is for tests. */
public record ListenAddress(String ip, int port) {
    private static final int MAX_PORT = 65_535;
    private static final String LOOPBACK = "127.0.0.1";

    public ListenAddress {
        if (ip == null || ip.isEmpty() || port < 0 || port > MAX_PORT) {
            throw new IllegalArgumentException("not IP:port: '" + ip + ":" + port + "'");
        }
    }

    /** Any free port of the loopback address. */
    public static ListenAddress anyLoopbackPort() {
        return loopback(0);
    }

    public static ListenAddress loopback(int port) {
        return new ListenAddress(LOOPBACK, port);
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ListenAddress parse(String text) {
        int colon = text == null ? -1 : text.lastIndexOf(':');
        if (colon < 1) {
            throw new IllegalArgumentException("not IP:port: '" + text + "'");
        }
        return new ListenAddress(text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** The address that others connect to, once the bound port is known. */
    public Address toAddress(int boundPort) {
        return new Address(ip, boundPort);
    }

    @JsonValue
    @Override
    public String toString() {
        return ip + ":" + port;
    }
}
