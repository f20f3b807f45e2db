package org.elmline.core.raft;

/**
 * The whole state of the state machine after the entry at {@code index}. Replaces the log up to that entry.
 *
 * @param term term of the entry at {@code index}
 * @param membership the membership as of {@code index}
 * @param data the state as encoded by the state machine; not copied, must not be modified
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
