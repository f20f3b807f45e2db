package org.elmline.daemon.coordinator;

import java.io.OutputStream;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.elmline.core.registry.Registration;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.runtime.SystemClock;
import org.elmline.storage.ChecksummedFile;
import org.elmline.storage.SystemFiles;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PersistedServersTest {
    @TempDir
    private Path folder;

    private static Map<String, Object> server(String id, String address) {
        return Map.of(
                "id",
                id,
                "service",
                "s",
                "address",
                address,
                "failureDomain",
                "a",
                "places",
                4,
                "state",
                "READY",
                "bornMillis",
                5,
                "sequence",
                7);
    }

    private static Handler collectingInto(List<String> records) {
        return new Handler() {
            @Override
            public void publish(LogRecord line) {
                records.add(line.getMessage());
            }

            @Override
            public void flush() {}

            @Override
            public void close() {}
        };
    }

    /** Guards against a restart without servers, as an earlier release persisted one that can't be used. */
    @Test
    void unusableServerIsLoggedAndTheOthersAreRestored() throws Exception {
        List<String> records = new ArrayList<>();
        Logger logger = Logger.getLogger("org.elmline.wire");
        Handler handler = collectingInto(records);
        logger.addHandler(handler);
        ChecksummedFile file = new ChecksummedFile(new SystemFiles(), folder.resolve("servers"));
        file.write(new ObjectMapper(new MessagePackFactory())
                .writeValueAsBytes(Map.of(
                        "servers",
                        List.of(server("r1", "10.0.0.1:80"), server("r2", "a b:80"), server("r3", "10.0.0.3:80")))));
        DecisionLog log = new DecisionLog("c", "control", new SystemClock(), OutputStream.nullOutputStream());
        try (PersistedValue<PersistedServers> value =
                new PersistedValue<>("servers", PersistedServers.class, file, log)) {
            List<Registration> read = value.read().orElseThrow().servers();
            assertEquals(
                    List.of("r1", "r3"),
                    read.stream().map(each -> each.id().value()).toList());
        }
        log.close();
        logger.removeHandler(handler);
        assertEquals(1, records.size(), records.toString());
        assertTrue(records.get(0).contains("a b:80"), records.get(0));
    }

    /** Guards against a control host that can't start, as its file holds bytes that are no message. */
    @Test
    void fileOfOtherBytesIsReadAsNone() throws Exception {
        ChecksummedFile file = new ChecksummedFile(new SystemFiles(), folder.resolve("servers"));
        DecisionLog log = new DecisionLog("c", "control", new SystemClock(), OutputStream.nullOutputStream());
        try (PersistedValue<PersistedServers> value =
                new PersistedValue<>("servers", PersistedServers.class, file, log)) {
            for (int first = 0; first < 256; first++) {
                file.write(new byte[] {(byte) first, 1, (byte) 0xc1});
                List<Registration> read =
                        value.read().map(PersistedServers::servers).orElse(List.of());
                assertEquals(List.of(), read, "first byte " + first);
            }
        }
        log.close();
    }
}
