package org.elmline.daemon.settings;

/**
 * Timing and storage of the control hosts' replicated log (Raft).
 *
 * @param electionMillis minimum election timeout in milliseconds; each timeout is drawn at random between this and
 *     twice this
 * @param heartbeatMillis time between a leader's heartbeats, in milliseconds
 * @param snapshotEntries number of entries after which the log is compacted into a snapshot
 */
public record ControlRaftSettings(long electionMillis, long heartbeatMillis, int snapshotEntries) {
    public static final ControlRaftSettings DEFAULT = new ControlRaftSettings(1_000, 150, 4_096);
}
