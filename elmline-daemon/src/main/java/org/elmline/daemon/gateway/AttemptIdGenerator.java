package org.elmline.daemon.gateway;

import org.elmline.core.common.HostId;

/** Generates ids of attempts, unique over all entries and their restarts. Used on the I/O thread only. */
final class AttemptIdGenerator {
    private static final int RADIX = 36;

    private final String prefix;
    private long nextId;

    AttemptIdGenerator(HostId host, long incarnation) {
        this.prefix = host.value() + '-' + Long.toString(incarnation, RADIX) + '-';
    }

    String nextId() {
        return prefix + Long.toString(nextId++, RADIX);
    }
}
