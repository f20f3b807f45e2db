package org.elmline.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/**
 * The file operations that the storage uses; an interface so that tests can simulate a full disk or a crash between
 * operations.
 */
public interface FileOperations {
    /** A file open for appending. */
    interface OutputFile extends AutoCloseable {
        /**
         * Appends all bytes. Throws {@link DiskFullException} when the disk is full; any part of the bytes may be
         * written then.
         */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once everything written survives a loss of power. */
        void sync() throws IOException;

        void truncate(long length) throws IOException;

        @Override
        void close() throws IOException;
    }

    void createFolder(Path folder) throws IOException;

    /** Names of the files in a folder, sorted. */
    List<String> list(Path folder) throws IOException;

    byte[] read(Path file) throws IOException;

    /** Opens a file for appending, created when it does not exist. */
    OutputFile open(Path file) throws IOException;

    /** Replaces the target atomically. */
    void rename(Path from, Path to) throws IOException;

    void delete(Path file) throws IOException;

    /** Makes creations, renames and deletions in the folder durable. */
    void syncFolder(Path folder) throws IOException;

    /** Acquires a lock on a file, held until closed or until the process ends; null when it is held already. */
    AutoCloseable tryLock(Path file) throws IOException;
}
