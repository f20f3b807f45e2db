package org.elmline.storage;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Path;

/**
 * Writes a file atomically: whenever the host dies, the file holds either all of the new bytes or its previous state.
 * Steps: write a temporary file, sync it, rename it, sync the folder.
 */
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
