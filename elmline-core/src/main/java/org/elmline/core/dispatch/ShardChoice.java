package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

import org.elmline.core.common.BackendServerId;

/** In which order the dispatchers of a service's shards are asked for a place. */
public final class ShardChoice {
    private ShardChoice() {}

    /**
     * The shards in the order in which a call asks them: each comes first as often as its part of the servers, as calls
     * spread evenly would crowd a shard that happens to have few.
     *
     * @param servers all servers of the service that may be used
     */
    public static List<Shard> order(List<BackendServerId> servers, RandomGenerator random) {
        List<Shard> left = new ArrayList<>(Shard.forServerCount(servers.size()));
        if (left.size() == 1) {
            return left;
        }
        List<Shard> order = new ArrayList<>();
        int count = left.size();
        int index = Shard.indexOf(servers.get(random.nextInt(servers.size())), count);
        int step = 1 + 2 * random.nextInt(count / 2);
        for (int i = 0; i < count; i++) {
            // The count is a power of two, so an odd step passes each shard once.
            order.add(left.get(Math.floorMod(index + i * step, count)));
        }
        return order;
    }
}
