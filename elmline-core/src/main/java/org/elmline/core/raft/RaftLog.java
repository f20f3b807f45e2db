package org.elmline.core.raft;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The entries in memory behind the newest snapshot, and how far they are synced, committed and handed out. Positions
 * run from 1; {@code base} is the last one that is no longer held.
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

    /** Whether {@link #termAt} knows the position. */
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

    /** Position of the newest membership, committed or not. */
    long membershipIndex() {
        return memberships.lastKey();
    }

    /** Whether a log that ends there holds everything that this one may have committed (Raft paper, section 5.4.1). */
    boolean isCandidateUpToDate(long otherLastIndex, long otherLastTerm) {
        if (otherLastTerm != lastTerm()) {
            return otherLastTerm > lastTerm();
        }
        return otherLastIndex >= lastIndex();
    }

    /** Adds the next entry. */
    void append(Entry entry) {
        if (entry.index() != lastIndex() + 1) {
            throw new IllegalStateException("entry " + entry + " does not follow " + lastIndex());
        }
        entries.add(entry);
        if (entry.kind() == EntryKind.MEMBERSHIP) {
            memberships.put(entry.index(), Membership.ofBytes(entry.data()));
        }
    }

    /** Takes entries from the leader: what is held already stays, what conflicts is cut off with all behind it. */
    void merge(List<Entry> offered) {
        for (Entry each : offered) {
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
            throw new IllegalStateException("a committed entry would be lost: " + from + " of " + committedIndex);
        }
        entries.subList((int) (from - compactedIndex - 1), entries.size()).clear();
        memberships.tailMap(from, true).clear();
        syncedIndex = Math.min(syncedIndex, from - 1);
    }

    void commitTo(long index) {
        if (index > lastIndex()) {
            throw new IllegalStateException("commit " + index + " beyond the log's end " + lastIndex());
        }
        committedIndex = Math.max(committedIndex, index);
    }

    /** The entries from an index on, as many as fit in the bytes but at least one if there is one. */
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

    /** The driver has synced and applied everything that was handed out. */
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

    /** Replaces the whole log by a snapshot of the leader. */
    void install(Snapshot newer) {
        reset(newer);
        snapshotToInstall = newer;
    }

    private void reset(Snapshot newer) {
        entries.clear();
        memberships.clear();
        memberships.put(newer.index(), newer.membership());
        snapshot = newer;
        compactedIndex = newer.index();
        compactedTerm = newer.term();
        syncedIndex = compactedIndex;
        committedIndex = compactedIndex;
        appliedIndex = compactedIndex;
    }

    /**
     * Puts the state after {@code index} in place of the entries up to there, but for the last ones, at most {@code
     * retained} of at most {@code retainedBytes}.
     */
    Snapshot compact(long index, byte[] state, int retained, long retainedBytes) {
        if (index > appliedIndex || (snapshot != null && index <= snapshot.index())) {
            throw new IllegalStateException("snapshot at " + index + " of " + appliedIndex + " applied");
        }
        Membership asOf = memberships.floorEntry(index).getValue();
        snapshot = new Snapshot(index, termAt(index), asOf, state);
        long newBase = index;
        long bytes = 0;
        while (newBase > compactedIndex
                && index - newBase < retained
                && bytes + entryAt(newBase).sizeBytes() <= retainedBytes) {
            bytes += entryAt(newBase).sizeBytes();
            newBase--;
        }
        long newBaseTerm = termAt(newBase);
        entries.subList(0, (int) (newBase - compactedIndex)).clear();
        compactedIndex = newBase;
        compactedTerm = newBaseTerm;
        Map.Entry<Long, Membership> oldest = memberships.floorEntry(index);
        memberships.headMap(oldest.getKey(), false).clear();
        return snapshot;
    }

    /** Where a leader should look next when its entry at {@code prevIndex} is not ours. */
    long conflictHint(long prevIndex) {
        if (prevIndex > lastIndex()) {
            return lastIndex();
        }
        if (prevIndex <= compactedIndex) {
            return Math.max(committedIndex, compactedIndex);
        }
        // All entries of the conflicting term are skipped at once: one round trip a term, not one an entry.
        long term = termAt(prevIndex);
        long index = prevIndex - 1;
        while (index > committedIndex && index > compactedIndex && termAt(index) == term) {
            index--;
        }
        return index;
    }
}
