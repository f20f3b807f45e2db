package org.elmline.wire.tcp;

/**
 * Limits that keep one slow or hostile peer from exhausting the memory and connections of this process.
 *
 * @param maxFrameBytes longest frame read or written, in bytes
 * @param maxQueuedBytes bytes that may be queued for writing to one peer
 * @param maxCallsInFlight calls that may be unanswered on one connection
 * @param maxConnections connections open at the same time
 * @param maxUnproved those among them whose peers have not proved their key yet; one more closes the oldest
 */
public record PeerLimits(
        int maxFrameBytes, int maxQueuedBytes, int maxCallsInFlight, int maxConnections, int maxUnproved) {
    public static final PeerLimits DEFAULT = new PeerLimits(8 * 1024 * 1024, 16 * 1024 * 1024, 4096, 1024, 384);
}
