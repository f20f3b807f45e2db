package org.elmline.core.placement;

import java.util.Arrays;
import java.util.List;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ModelName;

/**
 * The order in which long and short prompts fill a model's replicas from opposite ends. It depends only on the model's
 * name and the replicas' ids, so every host computes the same order; a replica that joins or leaves does not change the
 * relative order of the others (rendezvous hashing, Thaler and Ravishankar 1998). Immutable.
 */
final class ReplicaOrder {
    private static final long MIX_MULTIPLIER = 0x9e3779b97f4a7c15L;
    private static final int INDEX_BITS = 20;
    private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

    private final BackendServerId[] ids;
    private final int[] rankOfIndex;

    private ReplicaOrder(BackendServerId[] ids, int[] rankOfIndex) {
        this.ids = ids;
        this.rankOfIndex = rankOfIndex;
    }

    static ReplicaOrder of(ModelName model, List<Replica> replicas) {
        int size = replicas.size();
        BackendServerId[] ids = new BackendServerId[size];
        long[] keys = new long[size];
        long seed = hash(model.value());
        for (int i = 0; i < size; i++) {
            ids[i] = replicas.get(i).id();
            long mixed = mix(seed ^ hash(ids[i].value()));
            keys[i] = mixed << INDEX_BITS | i;
        }
        Arrays.sort(keys);
        int[] ranks = new int[size];
        for (int rank = 0; rank < size; rank++) {
            ranks[(int) (keys[rank] & INDEX_MASK)] = rank;
        }
        return new ReplicaOrder(ids, ranks);
    }

    /** Whether this order was computed for exactly these replicas, in the same list order. */
    boolean matches(List<Replica> replicas) {
        if (ids.length != replicas.size()) {
            return false;
        }
        for (int i = 0; i < ids.length; i++) {
            BackendServerId id = replicas.get(i).id();
            if (ids[i] != id && !ids[i].equals(id)) {
                return false;
            }
        }
        return true;
    }

    /** Rank of the replica at a list index; 0 is the long end. */
    int rank(int index) {
        return rankOfIndex[index];
    }

    private static long hash(String text) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }

    private static long mix(long value) {
        long bits = (value ^ (value >>> 30)) * MIX_MULTIPLIER;
        bits = (bits ^ (bits >>> 27)) * 0x94d049bb133111ebL;
        return bits ^ (bits >>> 31);
    }
}
