package org.elmline.wire.tcp;

/**
 * Bounds that keep one slow or hostile peer from using up this process.
 *
 * @param maxFrameBytes longest frame read or written, in bytes
 * @param maxQueuedBytes bytes that may wait to be written to one peer
 * @param maxCallsInFlight calls of one connection that may be unanswered
 * @param maxConnections connections accepted at once
 */
public record PeerLimits(int maxFrameBytes, int maxQueuedBytes, int maxCallsInFlight, int maxConnections) {
    public static final PeerLimits DEFAULT = new PeerLimits(8 * 1024 * 1024, 16 * 1024 * 1024, 4096, 1024);
}
