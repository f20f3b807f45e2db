package org.elmline.core.common;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** An IP address and TCP port, written {@code 127.0.0.1:8080}. */
public record Address(String ip, int port) {
    private static final int MAX_PORT = 65_535;
    private static final int IPV4_PARTS = 4;
    private static final int MAX_IPV4_PART = 255;

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

    /** Whether the IP is an IPv4 number in dotted decimal form, without leading zeros. */
    public boolean isIpv4() {
        int parts = 1;
        int value = -1;
        for (int i = 0; i < ip.length(); i++) {
            char each = ip.charAt(i);
            if (each == '.' && value >= 0) {
                parts++;
                value = -1;
            } else if (each >= '0' && each <= '9' && value != 0) {
                value = 10 * Math.max(0, value) + each - '0';
            } else {
                return false;
            }
            if (value > MAX_IPV4_PART) {
                return false;
            }
        }
        return parts == IPV4_PARTS && value >= 0;
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
