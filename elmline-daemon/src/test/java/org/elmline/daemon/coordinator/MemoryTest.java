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

class MemoryTest {
    private static final RoutingText TEXT = new RoutingText(true, 7, "{}");

    @TempDir
    private Path folder;

    private volatile boolean full;

    private PersistedValue<RoutingText> memory() {
        SystemFiles files = new SystemFiles() {
            @Override
            public OutputFile open(Path file) throws IOException {
                if (full) {
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
    void theNextStartKnowsWhatWasWritten() throws Exception {
        try (PersistedValue<RoutingText> memory = memory()) {
            assertTrue(memory.read().isEmpty());
            assertTrue(memory.tryWrite(TEXT));
            await(() -> memory.read().isPresent());
        }
        try (PersistedValue<RoutingText> again = memory()) {
            assertEquals(TEXT, again.read().orElseThrow());
        }
    }

    /**
     * Guards against a host that restores a stale value after its disk was full for a while: the failure must be
     * reported until a write succeeds, so that the value is written again.
     */
    @Test
    void aFullDiskIsToldUntilThereIsRoom() throws Exception {
        try (PersistedValue<RoutingText> memory = memory()) {
            full = true;
            assertTrue(memory.tryWrite(TEXT));
            await(memory::lastWriteFailed);
            assertTrue(memory.read().isEmpty());
            full = false;
            await(() -> memory.tryWrite(TEXT));
            await(() -> !memory.lastWriteFailed());
            assertEquals(TEXT, memory.read().orElseThrow());
        }
    }

    @Test
    void whatIsNoSuchValueCountsAsNothing() throws Exception {
        new ChecksummedFile(new SystemFiles(), folder.resolve("routing")).write(new byte[] {1, 2});
        try (PersistedValue<RoutingText> memory = memory()) {
            assertFalse(memory.read().isPresent());
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
