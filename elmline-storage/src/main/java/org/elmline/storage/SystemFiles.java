package org.elmline.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;

/** File operations on the host's file system. */
public class SystemFiles implements FileOperations {
    private static final List<String> DISK_FULL_MESSAGES = List.of("No space left on device", "Disk quota exceeded");

    @Override
    public void createFolder(Path folder) throws IOException {
        Files.createDirectories(folder);
    }

    @Override
    public List<String> list(Path folder) throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.map(each -> each.getFileName().toString()).sorted().toList();
        }
    }

    @Override
    public byte[] read(Path file) throws IOException {
        return Files.readAllBytes(file);
    }

    @Override
    public OutputFile open(Path file) throws IOException {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        channel.position(channel.size());
        return new ChannelFile(channel);
    }

    @Override
    public void rename(Path from, Path to) throws IOException {
        Files.move(from, to, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }

    @Override
    public void delete(Path file) throws IOException {
        Files.deleteIfExists(file);
    }

    @Override
    public void syncFolder(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    @Override
    public AutoCloseable tryLock(Path file) throws IOException {
        FileChannel channel = FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        FileLock lock = null;
        try {
            lock = channel.tryLock();
        } catch (OverlappingFileLockException held) {
            // This process holds the lock already, by another opening of the folder.
            lock = null;
        }
        if (lock == null) {
            channel.close();
            return null;
        }
        return channel;
    }

    private record ChannelFile(FileChannel channel) implements OutputFile {
        @Override
        public void write(ByteBuffer bytes) throws IOException {
            try {
                while (bytes.hasRemaining()) {
                    channel.write(bytes);
                }
            } catch (IOException e) {
                String message = String.valueOf(e.getMessage());
                if (DISK_FULL_MESSAGES.stream().anyMatch(message::contains)) {
                    throw new DiskFullException(message);
                }
                throw e;
            }
        }

        @Override
        public void sync() throws IOException {
            channel.force(false);
        }

        @Override
        public void truncate(long length) throws IOException {
            channel.truncate(length);
            channel.position(length);
        }

        @Override
        public void close() throws IOException {
            channel.close();
        }
    }
}
