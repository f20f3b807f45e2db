package org.elmline.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Optional;
import java.util.zip.CRC32;

/**
 * A file with a checksum that is always replaced as a whole. It holds state that only saves time after a restart, so a
 * damaged file is treated as missing.
 */
public final class ChecksummedFile {
    private final FileOperations files;
    private final Path path;

    public ChecksummedFile(FileOperations files, Path path) {
        this.files = files;
        this.path = path;
    }

    /** Returns the content written last; empty when the file is missing, damaged or unreadable. */
    public Optional<byte[]> read() {
        try {
            byte[] bytes = files.read(path);
            if (bytes.length < Long.BYTES) {
                return Optional.empty();
            }
            byte[] content = Arrays.copyOfRange(bytes, Long.BYTES, bytes.length);
            boolean matches = ByteBuffer.wrap(bytes).getLong() == checksum(content);
            return matches ? Optional.of(content) : Optional.empty();
        } catch (IOException e) {
            return Optional.empty();
        }
    }

    /** Replaces the content and syncs it to the disk. */
    public void write(byte[] content) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(Long.BYTES + content.length);
        bytes.putLong(checksum(content)).put(content).flip();
        AtomicFile.write(files, path, bytes);
    }

    private static long checksum(byte[] content) {
        CRC32 crc = new CRC32();
        crc.update(content);
        return crc.getValue();
    }
}
