package org.elmline.core.raft;

/**
 * The state machine's whole state after the entry {@code index}, in place of the log up to there.
 *
 * @param membership the members as of {@code index}
 */
public record Snapshot(long index, long term, Membership membership, byte[] data) {
    public Snapshot {
        if (index < 1 || term < 1 || membership == null || data == null) {
            throw new IllegalArgumentException("incomplete snapshot at " + index + "/" + term);
        }
    }

    @Override
    public String toString() {
        return "snapshot " + index + "/" + term + " " + data.length + " bytes, " + membership;
    }
}
