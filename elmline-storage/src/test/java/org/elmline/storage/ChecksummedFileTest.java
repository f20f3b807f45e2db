package org.elmline.storage;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ChecksummedFileTest {
    @TempDir
    private Path folder;

    @Test
    void readsLastWrittenContent() throws Exception {
        Path path = folder.resolve("f");
        ChecksummedFile file = new ChecksummedFile(new SystemFiles(), path);
        assertTrue(file.read().isEmpty());
        file.write(new byte[] {1, 2, 3});
        file.write(new byte[] {4});
        assertArrayEquals(
                new byte[] {4},
                new ChecksummedFile(new SystemFiles(), path).read().orElseThrow());
    }

    /**
     * Guards against restoring servers that never existed from a file torn by a loss of power: any damaged file counts
     * as missing.
     */
    @Test
    void damagedFileCountsAsMissing() throws Exception {
        Path path = folder.resolve("f");
        ChecksummedFile file = new ChecksummedFile(new SystemFiles(), path);
        file.write(new byte[] {1, 2, 3});
        byte[] bytes = Files.readAllBytes(path);
        for (int i = 0; i < bytes.length; i++) {
            byte[] damaged = bytes.clone();
            damaged[i] ^= 0x10;
            Files.write(path, damaged);
            assertTrue(file.read().isEmpty(), "byte " + i);
        }
        for (int length = 0; length < bytes.length; length++) {
            Files.write(path, Arrays.copyOf(bytes, length));
            assertTrue(file.read().isEmpty(), "length " + length);
        }
    }
}
