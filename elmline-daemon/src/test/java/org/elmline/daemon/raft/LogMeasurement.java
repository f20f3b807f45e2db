package org.elmline.daemon.raft;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleSupplier;

import org.elmline.core.common.HostId;
import org.elmline.core.raft.Entry;
import org.elmline.core.raft.EntryKind;
import org.elmline.core.raft.HardState;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.raft.Snapshot;
import org.elmline.storage.DataFolder;
import org.elmline.storage.OpenResult;
import org.elmline.storage.StoreResult;
import org.elmline.storage.SystemFiles;

/** Prints syncs per second by batch size, and replay and snapshot times, on the disk of a given folder. */
public final class LogMeasurement {
    private static final HostId HOST = HostId.of("h1");
    private static final int ENTRY_BYTES = 300;
    private static final int ROUNDS = 9;
    private static final int SEGMENT_BYTES = 16 << 20;

    private final Path parent;
    private int folders;

    private LogMeasurement(Path parent) {
        this.parent = parent;
    }

    /** @param args the folder for the data, on the disk to measure */
    public static void main(String[] args) throws IOException {
        LogMeasurement measurement = new LogMeasurement(Files.createDirectories(Path.of(args[0])));
        for (int batch : new int[] {1, 8, 64, 512}) {
            measurement.measureSyncs(batch);
        }
        for (int thousands : new int[] {1, 10, 50}) {
            measurement.measureReplay(thousands);
        }
    }

    private static Entry entry(long index) {
        return new Entry(index, 1, EntryKind.COMMAND, new byte[ENTRY_BYTES]);
    }

    private Path newFolder() {
        return parent.resolve("run-" + ProcessHandle.current().pid() + "-" + folders++);
    }

    private static OpenResult.Opened open(Path folder) {
        return (OpenResult.Opened)
                DataFolder.open(new SystemFiles(), folder, HOST, new SplittableRandom(1), SEGMENT_BYTES);
    }

    private static void require(StoreResult result) {
        if (!(result instanceof StoreResult.Done)) {
            throw new IllegalStateException(result.toString());
        }
    }

    private static List<Entry> batch(long first, int size) {
        List<Entry> batch = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            batch.add(entry(first + i));
        }
        return batch;
    }

    private void measureSyncs(int size) throws IOException {
        DataFolder folder = open(newFolder()).folder();
        int batches = Math.max(20, 400 / size);
        long[] next = {1};
        print("syncs a second, " + size + " proposals each", () -> {
            long start = System.nanoTime();
            for (int i = 0; i < batches; i++) {
                require(folder.append(null, batch(next[0], size)));
                next[0] += size;
            }
            return batches * 1e9 / (System.nanoTime() - start);
        });
        folder.close();
    }

    private void measureReplay(int thousands) throws IOException {
        Path path = newFolder();
        DataFolder folder = open(path).folder();
        int entries = thousands * 1_000;
        require(folder.append(new HardState(1, null), List.of()));
        for (int i = 0; i < thousands; i++) {
            require(folder.append(null, batch(1 + i * 1_000L, 1_000)));
        }
        folder.close();
        print("replay, ms per thousand of " + entries, () -> {
            long start = System.nanoTime();
            OpenResult.Opened opened = open(path);
            double millis = (System.nanoTime() - start) / 1e6 / thousands;
            closeUnchecked(opened.folder());
            return millis;
        });
        DataFolder reopened = open(path).folder();
        Membership members = Membership.ofVoters(List.of(new ReplicaId(HOST, 1)));
        long[] index = {0};
        print("snapshot, ms per thousand of " + entries, () -> {
            Snapshot snapshot = new Snapshot(++index[0], 1, members, new byte[entries * ENTRY_BYTES]);
            long start = System.nanoTime();
            require(reopened.compact(snapshot));
            return (System.nanoTime() - start) / 1e6 / thousands;
        });
        reopened.close();
    }

    private static void closeUnchecked(DataFolder folder) {
        try {
            folder.close();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void print(String what, DoubleSupplier round) {
        round.getAsDouble();
        double[] values = new double[ROUNDS];
        for (int i = 0; i < ROUNDS; i++) {
            values[i] = round.getAsDouble();
        }
        java.util.Arrays.sort(values);
        System.out.printf(
                "%s: median %.2f (least %.2f, most %.2f)%n", what, values[ROUNDS / 2], values[0], values[ROUNDS - 1]);
    }
}
