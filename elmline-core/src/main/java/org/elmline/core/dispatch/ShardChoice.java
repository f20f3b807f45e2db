package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.elmline.core.common.BackendServerId;

/** Chooses the order in which the dispatchers of a service's shards are requested to place a call. */
public final class ShardChoice {
    private ShardChoice() {}

    /**
     * The shards in the order in which a call requests placement. Each comes first in proportion to its number of
     * servers: calls spread evenly would overload a shard that has few.
     *
     * @param servers all servers of the service that may be used
     */
    public static List<Shard> order(List<BackendServerId> servers, RandomGenerator random) {
        List<Shard> shards = new ArrayList<>(Shard.forServerCount(servers.size()));
        if (shards.size() == 1) {
            return shards;
        }
        List<Shard> order = new ArrayList<>();
        int count = shards.size();
        int index = Shard.indexOf(servers.get(random.nextInt(servers.size())), count);
        int step = 1 + 2 * random.nextInt(count / 2);
        for (int i = 0; i < count; i++) {
            // The count is a power of two, so an odd step visits each shard once.
            order.add(shards.get(Math.floorMod(index + i * step, count)));
        }
        return order;
    }
}
