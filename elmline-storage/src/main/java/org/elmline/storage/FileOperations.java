package org.elmline.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.List;

/** The few file operations that the storage rests on, so that a test can fill the disk or crash between two of them. */
public interface FileOperations {
    /** A file open for appending. */
    interface OutputFile extends AutoCloseable {
        /** Writes all at the end; throws {@link DiskFullException} when there is no room, with any part of it written. */
        void write(ByteBuffer bytes) throws IOException;

        /** Returns once everything written lasts through a loss of power. */
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

    /** Replaces the target in one step. */
    void rename(Path from, Path to) throws IOException;

    void delete(Path file) throws IOException;

    /** Makes names created, renamed and deleted in the folder last. */
    void syncFolder(Path folder) throws IOException;

    /** Holds a lock on a file until closed, or until the process ends; null when another process holds it. */
    AutoCloseable tryLock(Path file) throws IOException;
}
