package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.elmline.core.common.BackendServerId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** How a service's servers are divided into shards, and in which order a call requests placement at them. */
class ShardTest {
    private static List<BackendServerId> servers(int count) {
        List<BackendServerId> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(BackendServerId.of("i-" + Integer.toHexString(i * 7919)));
        }
        return servers;
    }

    @Test
    void serviceWithFewServersHasOneShard() {
        assertEquals(List.of(Shard.WHOLE), Shard.forServerCount(0));
        assertEquals(List.of(Shard.WHOLE), Shard.forServerCount(100));
    }

    /** Guards against a dispatcher whose work grows with the number of servers. */
    @Test
    void boundsServersPerShard() {
        for (int count : new int[] {101, 172, 700, 6_000}) {
            Map<Shard, Integer> sizes = new HashMap<>();
            for (BackendServerId server : servers(count)) {
                List<Shard> holders = Shard.forServerCount(count).stream()
                        .filter(each -> each.contains(server))
                        .toList();
                assertEquals(1, holders.size());
                sizes.merge(holders.get(0), 1, Integer::sum);
            }
            sizes.values().forEach(each -> assertTrue(each <= 150, each + " of " + count));
        }
    }

    @Test
    void ordersEachShardOnceAndFirstByItsPartOfServers() {
        List<BackendServerId> servers = servers(700);
        Random random = new Random(3);
        Map<Shard, Integer> first = new HashMap<>();
        int rounds = 4_000;
        for (int i = 0; i < rounds; i++) {
            List<Shard> order = ShardChoice.order(servers, random);
            assertEquals(new HashSet<>(Shard.forServerCount(700)), new HashSet<>(order));
            assertEquals(8, order.size());
            first.merge(order.get(0), 1, Integer::sum);
        }
        first.forEach((shard, times) -> {
            double part = servers.stream().filter(shard::contains).count() / 700.0;
            assertEquals(part, (double) times / rounds, 0.04);
        });
    }
}
