package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.BackendServerId;

/**
 * A part of a service's backend servers that is dispatched by itself, so that what one dispatcher does stays bounded
 * however many servers the service has, and its loss costs a part of them.
 *
 * @param index from 0
 * @param count shards of the service, over 0
 */
public record Shard(int index, int count) {
    /** All servers of a service that has few. */
    public static final Shard WHOLE = new Shard(0, 1);

    /** Servers of a shard, at most; groups of engines want as many to choose from as a host can look through. */
    private static final int MAX_SERVERS = 100;

    /** Shards become so many times more at once: hosts that count servers differently for a moment mostly agree on them. */
    private static final int COUNT_GROWTH_FACTOR = 2;

    /** Odd, with bits all over, so that names that are alike fall into unlike shards. */
    private static final int HASH_MULTIPLIER = 0x9E3779B1;

    public Shard {
        if (count < 1 || index < 0 || index >= count) {
            throw new IllegalArgumentException("shard " + index + " of " + count);
        }
    }

    /** The shards of a service with so many servers. */
    public static List<Shard> forServerCount(int servers) {
        int count = 1;
        while (servers > (long) count * MAX_SERVERS) {
            count *= COUNT_GROWTH_FACTOR;
        }
        List<Shard> shards = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            shards.add(new Shard(i, count));
        }
        return shards;
    }

    /** Whether a server is of this shard. */
    public boolean contains(BackendServerId server) {
        return indexOf(server, count) == index;
    }

    /** The shard that a server is of among so many. */
    static int indexOf(BackendServerId server, int count) {
        int hash = server.value().hashCode() * HASH_MULTIPLIER;
        return Math.floorMod(hash ^ hash >>> 15, count);
    }
}
