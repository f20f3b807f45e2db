package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.BackendServerId;

/**
 * A part of a service's backend servers with a dispatcher of its own, so that the work of one dispatcher stays bounded
 * however many servers the service has, and its failure affects only a part of them.
 *
 * @param index from 0
 * @param count shards of the service, at least 1
 */
public record Shard(int index, int count) {
    /** All servers of a service that has a single shard. */
    public static final Shard WHOLE = new Shard(0, 1);

    /**
     * Most servers of a shard on average: groups of engines need a large choice, and a host can examine about this many
     * for a decision.
     */
    private static final int MAX_SERVERS = 100;

    /**
     * Factor by which the number of shards grows, so that hosts that briefly count servers differently mostly agree on
     * it.
     */
    private static final int COUNT_GROWTH_FACTOR = 2;

    /** Odd, with bits spread over the whole word, so that similar names fall into different shards. */
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

    /** Whether a server belongs to this shard. */
    public boolean contains(BackendServerId server) {
        return indexOf(server, count) == index;
    }

    /** The index of the shard, among so many, that a server belongs to. */
    static int indexOf(BackendServerId server, int count) {
        int hash = server.value().hashCode() * HASH_MULTIPLIER;
        return Math.floorMod(hash ^ hash >>> 15, count);
    }
}
