package org.elmline.core.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The part of the log held in memory: the newest snapshot, the entries after {@code compactedIndex}, and the indexes up
 * to which they are synced, committed and applied. Indexes start at 1; {@code compactedIndex} is the last one whose
 * entry is no longer held. Not thread-safe.
 */
final class RaftLog {
    private final List<Entry> entries = new ArrayList<>();
    private final TreeMap<Long, Membership> memberships = new TreeMap<>();
    private long compactedIndex;
    private long compactedTerm;
    private Snapshot snapshot;
    private Snapshot snapshotToInstall;
    private long syncedIndex;
    private long committedIndex;
    private long appliedIndex;

    RaftLog(RestoredState restored) {
        memberships.put(0L, Membership.EMPTY);
        if (restored.snapshot() != null) {
            reset(restored.snapshot());
        }
        for (Entry each : restored.entries()) {
            if (each.index() > compactedIndex) {
                append(each);
            }
        }
        syncedIndex = lastIndex();
        committedIndex = Math.max(committedIndex, Math.min(restored.committedIndex(), lastIndex()));
    }

    long firstIndex() {
        return compactedIndex + 1;
    }

    long lastIndex() {
        return compactedIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty()
                ? compactedTerm
                : entries.get(entries.size() - 1).term();
    }

    /** Whether {@link #termAt} can return the term of an index. */
    boolean hasTermAt(long index) {
        return index >= compactedIndex && index <= lastIndex();
    }

    long termAt(long index) {
        return index == compactedIndex ? compactedTerm : entryAt(index).term();
    }

    Entry entryAt(long index) {
        return entries.get((int) (index - compactedIndex - 1));
    }

    Snapshot snapshot() {
        return snapshot;
    }

    long syncedIndex() {
        return syncedIndex;
    }

    long committedIndex() {
        return committedIndex;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    Membership membership() {
        return memberships.lastEntry().getValue();
    }

    /** Index of the newest membership, committed or not. */
    long membershipIndex() {
        return memberships.lastKey();
    }

    /**
     * Whether a log with this last entry contains everything that this log may have committed (Raft paper, section
     * 5.4.1).
     */
    boolean isCandidateUpToDate(long otherLastIndex, long otherLastTerm) {
        if (otherLastTerm != lastTerm()) {
            return otherLastTerm > lastTerm();
        }
        return otherLastIndex >= lastIndex();
    }

    /** Appends the entry that follows the last one. */
    void append(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException("entry " + entry + " does not follow the last index " + lastIndex());
        }
        entries.add(entry);
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            memberships.put(entry.index(), Membership.ofBytes(entry.data()));
        }
    }

    /**
     * Merges entries from the leader. Entries held already stay; a conflicting one is removed together with all after
     * it.
     */
    void merge(List<Entry> received) {
        for (Entry each : received) {
            if (each.index() <= compactedIndex) {
                continue;
            }
            if (each.index() <= lastIndex()) {
                if (termAt(each.index()) == each.term()) {
                    continue;
                }
                truncate(each.index());
            }
            append(each);
        }
    }

    private void truncate(long from) {
        if (from <= committedIndex) {
            throw new IllegalStateException(
                    "cannot truncate from entry " + from + ": committed up to " + committedIndex);
        }
        entries.subList((int) (from - compactedIndex - 1), entries.size()).clear();
        memberships.tailMap(from, true).clear();
        syncedIndex = Math.min(syncedIndex, from - 1);
    }

    void commitTo(long index) {
        if (index > lastIndex()) {
            throw new IllegalStateException("commit index " + index + " is beyond the last index " + lastIndex());
        }
        committedIndex = Math.max(committedIndex, index);
    }

    /** Returns the entries from an index on, up to {@code maxBytes} in total but at least one if there is any. */
    List<Entry> entriesFrom(long index, int maxBytes) {
        List<Entry> result = new ArrayList<>();
        long bytes = 0;
        for (long i = index; i <= lastIndex(); i++) {
            Entry each = entryAt(i);
            bytes += each.sizeBytes();
            if (!result.isEmpty() && bytes > maxBytes) {
                break;
            }
            result.add(each);
        }
        return result;
    }

    List<Entry> unsyncedEntries() {
        return List.copyOf(entries.subList((int) (syncedIndex - compactedIndex), entries.size()));
    }

    Snapshot snapshotToInstall() {
        return snapshotToInstall;
    }

    boolean hasEntriesToApply() {
        return committedIndex > appliedIndex;
    }

    List<Entry> entriesToApply() {
        return List.copyOf(
                entries.subList((int) (appliedIndex - compactedIndex), (int) (committedIndex - compactedIndex)));
    }

    /** Records that everything in a {@link Ready} is synced and applied. */
    void advance(Ready ready) {
        if (ready.snapshotToInstall() != null) {
            snapshotToInstall = null;
        }
        if (!ready.entries().isEmpty()) {
            syncedIndex = ready.entries().get(ready.entries().size() - 1).index();
        }
        if (!ready.committedEntries().isEmpty()) {
            appliedIndex = ready.committedEntries()
                    .get(ready.committedEntries().size() - 1)
                    .index();
        }
    }

    /** Replaces the whole log by a snapshot from the leader. */
    void install(Snapshot newSnapshot) {
        reset(newSnapshot);
        snapshotToInstall = newSnapshot;
    }

    private void reset(Snapshot newSnapshot) {
        entries.clear();
        memberships.clear();
        memberships.put(newSnapshot.index(), newSnapshot.membership());
        snapshot = newSnapshot;
        compactedIndex = newSnapshot.index();
        compactedTerm = newSnapshot.term();
        syncedIndex = compactedIndex;
        committedIndex = compactedIndex;
        appliedIndex = compactedIndex;
    }

    /**
     * Replaces the entries up to {@code index} by a snapshot, except for the last ones, which are retained for
     * followers that lag a little.
     *
     * @param state the state machine after the entry at {@code index}
     * @param retained maximum number of entries retained
     * @param retainedBytes maximum total size of the entries retained, in bytes
     */
    Snapshot compact(long index, byte[] state, int retained, long retainedBytes) {
        if (index > appliedIndex || (snapshot != null && index <= snapshot.index())) {
            throw new IllegalStateException("snapshot index " + index + " must be above the last snapshot and at most "
                    + appliedIndex + ", the applied index");
        }
        Membership membershipAtIndex = memberships.floorEntry(index).getValue();
        snapshot = new Snapshot(index, termAt(index), membershipAtIndex, state);
        long newCompactedIndex = index;
        long bytes = 0;
        while (newCompactedIndex > compactedIndex
                && index - newCompactedIndex < retained
                && bytes + entryAt(newCompactedIndex).sizeBytes() <= retainedBytes) {
            bytes += entryAt(newCompactedIndex).sizeBytes();
            newCompactedIndex--;
        }
        long newCompactedTerm = termAt(newCompactedIndex);
        entries.subList(0, (int) (newCompactedIndex - compactedIndex)).clear();
        compactedIndex = newCompactedIndex;
        compactedTerm = newCompactedTerm;
        Map.Entry<Long, Membership> oldest = memberships.floorEntry(index);
        memberships.headMap(oldest.getKey(), false).clear();
        return snapshot;
    }

    /**
     * Returns the index that a leader should try next as the previous one when the entry at {@code prevIndex} differs
     * or is missing.
     */
    long conflictHint(long prevIndex) {
        if (prevIndex > lastIndex()) {
            return lastIndex();
        }
        if (prevIndex <= compactedIndex) {
            return Math.max(committedIndex, compactedIndex);
        }
        // Skips all entries of the conflicting term at once: one round trip per term instead of one per entry.
        long term = termAt(prevIndex);
        long index = prevIndex - 1;
        while (index > committedIndex && index > compactedIndex && termAt(index) == term) {
            index--;
        }
        return index;
    }
}
