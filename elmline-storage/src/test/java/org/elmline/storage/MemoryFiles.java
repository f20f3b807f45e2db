package org.elmline.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.TreeMap;
import java.util.random.RandomGenerator;

/**
 * An in-memory disk that keeps synced bytes and a random part of the others after a crash. Tests can limit its free
 * space and its number of operations, and can make syncs fail.
 */
final class MemoryFiles implements FileOperations {
    private static final class Content {
        private byte[] bytes = new byte[0];
        private int synced;
    }

    private TreeMap<Path, Content> names = new TreeMap<>();
    private TreeMap<Path, Content> syncedNames = new TreeMap<>();
    long freeBytes = Long.MAX_VALUE;
    long operationsLeft = Long.MAX_VALUE;
    boolean syncFails;

    /** Simulates a crash and restart of the host. */
    void crash(RandomGenerator random) {
        names = new TreeMap<>(syncedNames);
        for (Content each : names.values()) {
            int kept = each.synced + random.nextInt(each.bytes.length - each.synced + 1);
            each.bytes = Arrays.copyOf(each.bytes, kept);
            each.synced = kept;
        }
        operationsLeft = Long.MAX_VALUE;
        freeBytes = Long.MAX_VALUE;
    }

    byte[] bytes(Path file) {
        return names.get(file).bytes;
    }

    void put(Path file, byte[] bytes) {
        Content content = new Content();
        content.bytes = bytes;
        names.put(file, content);
    }

    MemoryFiles copy() {
        MemoryFiles copy = new MemoryFiles();
        names.forEach((path, content) -> copy.put(path, content.bytes.clone()));
        return copy;
    }

    private void countOperation() throws IOException {
        if (operationsLeft-- <= 0) {
            throw new IOException("simulated crash: no file operations left");
        }
    }

    @Override
    public void createFolder(Path folder) {}

    @Override
    public List<String> list(Path folder) {
        return names.keySet().stream()
                .map(each -> each.getFileName().toString())
                .toList();
    }

    @Override
    public byte[] read(Path file) {
        return bytes(file).clone();
    }

    @Override
    public OutputFile open(Path file) throws IOException {
        countOperation();
        return new MemoryFile(names.computeIfAbsent(file, path -> new Content()));
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        countOperation();
        names.put(to, names.remove(from));
    }

    @Override
    public void delete(Path file) throws IOException {
        countOperation();
        names.remove(file);
    }

    @Override
    public void syncFolder(Path folder) throws IOException {
        countOperation();
        syncedNames = new TreeMap<>(names);
    }

    @Override
    public AutoCloseable tryLock(Path file) {
        return () -> {};
    }

    private final class MemoryFile implements OutputFile {
        private final Content content;

        private MemoryFile(Content content) {
            this.content = content;
        }

        @Override
        public void write(ByteBuffer from) throws IOException {
            countOperation();
            int written = (int) Math.min(freeBytes, from.remaining());
            boolean full = written < from.remaining();
            int old = content.bytes.length;
            content.bytes = Arrays.copyOf(content.bytes, old + written);
            from.get(content.bytes, old, written);
            freeBytes -= written;
            if (full) {
                throw new DiskFullException("simulated full disk");
            }
        }

        @Override
        public void sync() throws IOException {
            countOperation();
            if (syncFails) {
                throw new IOException("simulated sync failure");
            }
            content.synced = content.bytes.length;
        }

        @Override
        public void truncate(long length) throws IOException {
            countOperation();
            content.bytes = Arrays.copyOf(content.bytes, (int) length);
            content.synced = Math.min(content.synced, (int) length);
        }

        @Override
        public void close() {}
    }
}
