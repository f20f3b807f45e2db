package org.elmline.daemon.coordinator;

import java.io.OutputStream;
import java.nio.file.Path;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.runtime.SystemClock;
import org.elmline.storage.ChecksummedFile;
import org.elmline.storage.SystemFiles;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

class RoutingProviderTest {
    @TempDir
    private Path folder;

    /** Guards against a control host that answers no entry, as its file states a version without a document. */
    @Test
    void persistedVersionWithoutDocumentIsNotRestored() throws Exception {
        ChecksummedFile file = new ChecksummedFile(new SystemFiles(), folder.resolve("routing"));
        file.write(new ObjectMapper(new MessagePackFactory()).writeValueAsBytes(Map.of("known", true, "version", 7)));
        DecisionLog log = new DecisionLog("c", "control", new SystemClock(), OutputStream.nullOutputStream());
        try (log;
                PersistedValue<RoutingText> value = new PersistedValue<>("routing", RoutingText.class, file, log)) {
            RoutingProvider provider = new RoutingProvider(value);
            assertFalse(provider.hasRestored());
            assertEquals(-1, provider.packed().version());
        }
    }
}
