package org.elmline.storage;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.elmline.core.common.HostId;
import org.elmline.core.raft.Entry;
import org.elmline.core.raft.HardState;
import org.elmline.core.raft.RestoredState;
import org.elmline.core.raft.Snapshot;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Simulates crashes of the host at random file operations, after which any part of the bytes that were not synced is on
 * the disk. Acknowledged writes must be restored exactly as a plain list of entries holds them; of the write in
 * progress, all records, none or the first ones.
 */
class CrashTest {
    private static final Path FOLDER = Path.of("/data");

    private final MemoryFiles files = new MemoryFiles();
    private List<Entry> entries = new ArrayList<>();
    private Snapshot snapshot;
    private long term = 1;
    private long acknowledgedTerm;

    @Property(seed = "20260419", tries = 500)
    void acknowledgedWritesSurviveCrashes(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        CrashTest run = new CrashTest();
        DataFolder folder = run.open(random);
        for (int i = 0; i < 40; i++) {
            boolean crashes = random.nextInt(4) == 0;
            run.files.operationsLeft = crashes ? random.nextInt(8) : Long.MAX_VALUE;
            if (!run.write(folder, random)) {
                run.files.crash(random);
                folder = run.open(random);
            }
        }
    }

    private DataFolder open(SplittableRandom random) {
        OpenResult result = DataFolder.open(files, FOLDER, HostId.of("h1"), random, 400);
        OpenResult.Opened opened = assertInstanceOf(OpenResult.Opened.class, result, result::toString);
        RestoredState found = opened.restored();
        long floor = snapshot == null ? 0 : snapshot.index();
        List<Entry> expected =
                entries.stream().filter(each -> each.index() > floor).toList();
        if (pending == null) {
            assertEquals(expected, found.entries());
        } else {
            pending.check(expected, found);
        }
        assertTrue(found.hardState().term() >= acknowledgedTerm, "an acknowledged term was lost");
        // Continue from the restored state.
        pending = null;
        entries = new ArrayList<>(found.entries());
        snapshot = found.snapshot();
        term = Math.max(1, found.hardState().term());
        return opened.folder();
    }

    private interface Pending {
        void check(List<Entry> before, RestoredState found);
    }

    private Pending pending;

    private long last() {
        long floor = snapshot == null ? 0 : snapshot.index();
        return entries.isEmpty() ? floor : entries.get(entries.size() - 1).index();
    }

    /** Returns whether the write was acknowledged. */
    private boolean write(DataFolder folder, SplittableRandom random) {
        int kind = random.nextInt(10);
        if (kind == 0 && !entries.isEmpty()) {
            Entry at = entries.get(random.nextInt(entries.size()));
            return snapshot(folder, DataFolderTest.snapshot(at.index(), at.term()), false);
        }
        if (kind == 1) {
            long floor = snapshot == null ? 0 : snapshot.index();
            long index = floor + 1 + random.nextLong(last() - floor + 5);
            return snapshot(folder, DataFolderTest.snapshot(index, term + 1), true);
        }
        return append(folder, random);
    }

    private boolean snapshot(DataFolder folder, Snapshot newer, boolean installed) {
        pending = (before, found) -> {
            boolean old = found.entries().equals(before);
            List<Entry> kept = before.stream()
                    .filter(each -> !installed && each.index() > newer.index())
                    .toList();
            assertTrue(
                    old || found.entries().equals(kept),
                    "entries match neither the state before the snapshot nor after it");
        };
        boolean done = (installed ? folder.install(newer) : folder.compact(newer)) instanceof StoreResult.Done;
        if (done) {
            entries.removeIf(each -> installed || each.index() <= newer.index());
            snapshot = newer;
            pending = null;
        }
        return done;
    }

    private boolean append(DataFolder folder, SplittableRandom random) {
        long floor = snapshot == null ? 0 : snapshot.index();
        long first = last() + 1 - random.nextLong(Math.min(3, last() + 1 - floor));
        term++;
        List<Entry> batch = new ArrayList<>();
        for (long i = first; i <= first + random.nextInt(4); i++) {
            batch.add(DataFolderTest.entry(i, term));
        }
        List<Entry> kept = new ArrayList<>(entries);
        kept.removeIf(each -> each.index() >= first);
        pending = (before, found) -> {
            List<Entry> prefix = new ArrayList<>(kept);
            boolean matches = found.entries().equals(before);
            for (Entry each : batch) {
                prefix.add(each);
                matches |= found.entries().equals(prefix);
            }
            assertTrue(
                    matches,
                    "restored entries match neither the log before the batch nor a prefix of the batch: "
                            + found.entries());
        };
        boolean done = folder.append(new HardState(term, null), batch) instanceof StoreResult.Done;
        if (done) {
            acknowledgedTerm = term;
            kept.addAll(batch);
            entries = kept;
            pending = null;
        }
        return done;
    }
}
