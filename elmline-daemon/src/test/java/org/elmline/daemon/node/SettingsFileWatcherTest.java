package org.elmline.daemon.node;

import java.io.OutputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.elmline.core.admission.AdmissionMode;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Settings of a node: which problems are reported, and how a running process reloads a changed file. */
class SettingsFileWatcherTest {
    @TempDir
    private Path folder;

    private static String settings(String controlHost) {
        return "{\"name\":\"n\",\"ip\":\"10.0.0.1\",\"region\":\"r\",\"failureDomain\":\"a\",\"peerPort\":7000,"
                + "\"callers\":\"10.0.0.1:80\",\"ready\":\"10.0.0.1:81\",\"peerKey\":\"sixteen-characters\","
                + "\"controlHosts\":[\"" + controlHost + "\"]}";
    }

    /**
     * Guards against an entry that permanently loses its control hosts: all hosts in its settings are replaced, and the
     * file changes without a signal. Invalid content is ignored.
     */
    @Test
    void reloadsChangedFileAndIgnoresInvalidOne() throws Exception {
        Path file = folder.resolve("settings.json");
        Files.writeString(file, settings("10.0.0.2:90"));
        List<NodeSettings> reloaded = new ArrayList<>();
        DecisionLog log = new DecisionLog("n", "entry", new SystemClock(), OutputStream.nullOutputStream());
        try (log;
                SettingsFileWatcher watcher =
                        new SettingsFileWatcher(file, Files.readAllBytes(file), log, reloaded::add)) {
            watcher.reloadIfChanged();
            assertEquals(0, reloaded.size(), "reloaded an unchanged file");
            Files.writeString(file, settings("10.0.0.3:90"));
            watcher.reloadIfChanged();
            Files.writeString(file, "{");
            watcher.reloadIfChanged();
            assertEquals(1, reloaded.size());
            assertEquals(
                    "10.0.0.3:7000",
                    reloaded.get(0).controlPeerAddresses().get(0).toString());
        }
    }

    @Test
    void reportsAllProblemsTogether() {
        NodeSettings.ParseResult read =
                NodeSettings.read("{\"name\":\"n\",\"peerKey\":\"short\",\"peerPort\":1}".getBytes());
        List<String> problems =
                assertInstanceOf(NodeSettings.ParseResult.Invalid.class, read).problems();
        for (String each : List.of("/ip", "/region", "/failureDomain", "/peerKey", "/controlHosts", "/callers")) {
            assertTrue(problems.stream().anyMatch(problem -> problem.contains(each)), each + " in " + problems);
        }
        assertInstanceOf(NodeSettings.ParseResult.Invalid.class, NodeSettings.read("{\"unknown\":1}".getBytes()));
    }

    /** Guards against an entry that changes its rule of admission without a setting. */
    @Test
    void readsAdmission() {
        String without = settings("10.0.0.2:90");
        String with = without.replace("{\"name\"", "{\"admission\":\"forecast\",\"name\"");
        assertEquals(AdmissionMode.SLOTS, read(without).admission());
        assertEquals(AdmissionMode.FORECAST, read(with).admission());
        assertInstanceOf(
                NodeSettings.ParseResult.Invalid.class,
                NodeSettings.read(with.replace("forecast", "other").getBytes()));
    }

    private static NodeSettings read(String json) {
        return assertInstanceOf(NodeSettings.ParseResult.Valid.class, NodeSettings.read(json.getBytes()))
                .settings();
    }
}
