package org.elmline.daemon.node;

/**
 * What an HTTP port serves, with its share of the process's connections. A call may hold a second descriptor, for its
 * server, so that all shares together fit into 2,069 descriptors, with a rest for other processes of the deployment.
 */
public enum PortRole {
    /** Calls of callers, whose bodies and answers have an account of their own. */
    CALLERS(440, 0, false),
    /** Calls that other entries forward, in the same account. */
    RELAY(96, 4 * 1024, false),
    READY(64, 0, true),
    DIRECTORY(160, 0, true),
    METRICS(32, 0, true),
    /** Operators and the heartbeats of backend servers, on control hosts, which have 4,096 descriptors. */
    OPERATORS(3_000, 0, true),
    /** A listener that has a limit of connections of its own, at which further ones wait. */
    API(Integer.MAX_VALUE, 0, true);

    private final int maxConnections;
    private final int additionalHeaderBytes;
    private final boolean countsMessages;

    PortRole(int maxConnections, int additionalHeaderBytes, boolean countsMessages) {
        this.maxConnections = maxConnections;
        this.additionalHeaderBytes = additionalHeaderBytes;
        this.countsMessages = countsMessages;
    }

    int maxConnections() {
        return maxConnections;
    }

    /** Bytes of headers accepted beyond the callers' limit: those that entries add to those of a caller. */
    int additionalHeaderBytes() {
        return additionalHeaderBytes;
    }

    /** Whether the guard counts bodies and answers, as no other account does. */
    boolean countsMessages() {
        return countsMessages;
    }
}
