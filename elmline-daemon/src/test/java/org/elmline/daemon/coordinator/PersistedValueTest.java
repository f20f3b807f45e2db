package org.elmline.daemon.coordinator;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.file.Path;

import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.runtime.SystemClock;
import org.elmline.storage.ChecksummedFile;
import org.elmline.storage.DiskFullException;
import org.elmline.storage.SystemFiles;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

class PersistedValueTest {
    private static final RoutingText TEXT = new RoutingText(true, 7, "{}");

    @TempDir
    private Path folder;

    private volatile boolean diskFull;

    private PersistedValue<RoutingText> openValue() {
        SystemFiles files = new SystemFiles() {
            @Override
            public OutputFile open(Path file) throws IOException {
                if (diskFull) {
                    throw new DiskFullException("no room");
                }
                return super.open(file);
            }
        };
        DecisionLog log = new DecisionLog("c", "control", new SystemClock(), OutputStream.nullOutputStream());
        return new PersistedValue<>(
                "routing", RoutingText.class, new ChecksummedFile(files, folder.resolve("routing")), log);
    }

    @Test
    void readsWrittenValueAfterRestart() throws Exception {
        try (PersistedValue<RoutingText> value = openValue()) {
            assertTrue(value.read().isEmpty());
            assertTrue(value.tryWrite(TEXT));
            await(() -> value.read().isPresent());
        }
        try (PersistedValue<RoutingText> reopened = openValue()) {
            assertEquals(TEXT, reopened.read().orElseThrow());
        }
    }

    /**
     * Guards against a host that restores a stale value after its disk was full for a while: the failure must be
     * reported until a write succeeds, so that the value is written again.
     */
    @Test
    void reportsFailedWriteUntilDiskHasRoom() throws Exception {
        try (PersistedValue<RoutingText> value = openValue()) {
            diskFull = true;
            assertTrue(value.tryWrite(TEXT));
            await(value::lastWriteFailed);
            assertTrue(value.read().isEmpty());
            diskFull = false;
            await(() -> value.tryWrite(TEXT));
            await(() -> !value.lastWriteFailed());
            assertEquals(TEXT, value.read().orElseThrow());
        }
    }

    @Test
    void readsNothingFromUndecodableFile() throws Exception {
        new ChecksummedFile(new SystemFiles(), folder.resolve("routing")).write(new byte[] {1, 2});
        try (PersistedValue<RoutingText> value = openValue()) {
            assertFalse(value.read().isPresent());
        }
    }

    private interface Condition {
        boolean holds();
    }

    private static void await(Condition condition) throws InterruptedException {
        for (int i = 0; i < 1_000; i++) {
            if (condition.holds()) {
                return;
            }
            Thread.sleep(10);
        }
        fail("condition not met within 10 s");
    }
}
