package org.elmline.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/** Writes a file that is there whole or not at all, whenever the host dies: temporary file, sync, rename, folder sync. */
final class AtomicFile {
    static final String TEMPORARY_SUFFIX = ".tmp";

    private AtomicFile() {}

    static void write(FileOperations files, Path path, ByteBuffer bytes) throws IOException {
        Path temporary = path.resolveSibling(path.getFileName() + TEMPORARY_SUFFIX);
        files.delete(temporary);
        try (FileOperations.OutputFile file = files.open(temporary)) {
            file.write(bytes);
            file.sync();
        } catch (DiskFullException e) {
            files.delete(temporary);
            throw e;
        }
        files.rename(temporary, path);
        files.syncFolder(path.getParent());
    }
}
