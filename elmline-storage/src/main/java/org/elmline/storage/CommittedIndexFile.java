package org.elmline.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;
import java.util.zip.CRC32;

import org.elmline.core.raft.Entry;

/**
 * The file {@code committed}: index and term of a committed entry, and their checksum, each a long, big-endian. It only
 * lets a replica serve its state before an election after the loss of all control hosts, so it may be missing or out of
 * date. An old file does no harm, as a committed entry is never undone; a torn file fails its checksum.
 */
final class CommittedIndexFile {
    static final String NAME = "committed";

    private static final int LENGTH_BYTES = 3 * Long.BYTES;

    private final FileOperations.OutputFile file;

    CommittedIndexFile(FileOperations files, Path folder) throws IOException {
        file = files.open(folder.resolve(NAME));
    }

    void write(long index, long term, boolean sync) throws IOException {
        ByteBuffer bytes = ByteBuffer.allocate(LENGTH_BYTES);
        bytes.putLong(index).putLong(term).putLong(checksum(index, term)).flip();
        file.truncate(0);
        file.write(bytes);
        if (sync) {
            file.sync();
        }
    }

    void close() throws IOException {
        file.close();
    }

    /** Returns the index if {@code entries} holds the entry of that index and term, otherwise 0. */
    static long decode(byte[] bytes, List<Entry> entries) {
        if (bytes.length != LENGTH_BYTES) {
            return 0;
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        long index = buffer.getLong();
        long term = buffer.getLong();
        if (buffer.getLong() != checksum(index, term)) {
            return 0;
        }
        for (Entry each : entries) {
            if (each.index() == index && each.term() == term) {
                return index;
            }
        }
        return 0;
    }

    private static long checksum(long index, long term) {
        CRC32 crc = new CRC32();
        crc.update(
                ByteBuffer.allocate(2 * Long.BYTES).putLong(index).putLong(term).array());
        return crc.getValue();
    }
}
