package org.elmline.core.raft;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;

/** Computes the highest value that a majority of the voters has reached. */
final class Quorum {
    private Quorum() {}

    static long highestReached(Membership membership, ToLongFunction<ReplicaId> value) {
        List<ReplicaId> voters = membership.voters();
        long[] values = new long[voters.size()];
        for (int i = 0; i < values.length; i++) {
            values[i] = value.applyAsLong(voters.get(i));
        }
        Arrays.sort(values);
        return values[values.length - membership.quorum()];
    }
}
