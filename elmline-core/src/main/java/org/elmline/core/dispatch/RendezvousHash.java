package org.elmline.core.dispatch;

import org.elmline.core.common.HostId;

/** Weights of hosts for rendezvous hashing; all hosts compute the same ones. */
final class RendezvousHash {
    /** Odd, with bits spread over the whole word, so that similar names give dissimilar weights. */
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private RendezvousHash() {}

    /** The weight of a host for what a name stands for; the lowest one is first. */
    static long weight(String name, HostId host) {
        long hash = 17;
        String text = name + '/' + host.value();
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * MULTIPLIER;
            hash ^= hash >>> 29;
        }
        return hash;
    }
}
