package org.elmline.core.raft;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;
import org.elmline.core.common.HostId;

/**
 * Identity of one copy of the log: the host and the incarnation of its data folder, written {@code host@hex}.
 *
 * <p>A host that lost its disk has also lost the record of its votes. If it voted again under its old identity, two
 * leaders could be elected in one term. An empty data folder therefore gets a new random incarnation: messages to the
 * old identity are dropped, and votes of the new one are not counted until the members have promoted it.
 */
public record ReplicaId(HostId host, long incarnation) implements Comparable<ReplicaId> {
    private static final char SEPARATOR = '@';
    private static final int HEX_RADIX = 16;

    public ReplicaId {
        if (host == null) {
            throw new IllegalArgumentException("replica id without a host");
        }
    }

    @JsonCreator(mode = JsonCreator.Mode.DELEGATING)
    public static ReplicaId parse(String text) {
        int at = text == null ? -1 : text.lastIndexOf(SEPARATOR);
        if (at < 1) {
            throw new IllegalArgumentException("not HOST@HEX: '" + text + "'");
        }
        long incarnation = Long.parseUnsignedLong(text.substring(at + 1), HEX_RADIX);
        return new ReplicaId(HostId.of(text.substring(0, at)), incarnation);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof ReplicaId that && incarnation == that.incarnation && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + Long.hashCode(incarnation);
    }

    @Override
    public int compareTo(ReplicaId other) {
        int byHost = host.compareTo(other.host);
        return byHost != 0 ? byHost : Long.compareUnsigned(incarnation, other.incarnation);
    }

    @JsonValue
    @Override
    public String toString() {
        return host.value() + SEPARATOR + Long.toHexString(incarnation);
    }
}
