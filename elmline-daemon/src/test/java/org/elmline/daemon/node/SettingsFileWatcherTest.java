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

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
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

    /** Guards against a process that stops reading its settings after values that no part of it can use. */
    @Test
    void unusableValuesAreRefusedAndTheNextFileIsRead() throws Exception {
        Path file = folder.resolve("settings.json");
        String sound = settings("10.0.0.2:90");
        Files.writeString(file, sound);
        List<NodeSettings> reloaded = new ArrayList<>();
        DecisionLog log = new DecisionLog("n", "entry", new SystemClock(), OutputStream.nullOutputStream());
        String nested = "[".repeat(20_000) + "]".repeat(20_000);
        List<String> unusable = List.of(
                sound.replace("\"peerPort\":7000", "\"peerPort\":99999"),
                sound.replace("\"peerPort\":7000", "\"peerPort\":7000,\"relayPort\":99999"),
                sound.replace("\"peerPort\":7000", "\"peerPort\":7000,\"relayPort\":-1"),
                sound.replace("\"peerPort\":7000", "\"peerPort\":7000,\"metricsPort\":70000"),
                sound.replace("\"peerPort\":7000", "\"peerPort\":7000,\"drainSeconds\":1e400"),
                sound.replace("\"peerPort\":7000", "\"peerPort\":" + "9".repeat(2_000)),
                sound.replace("\"peerPort\":7000", "\"peerPort\":7000,\"memory\":" + nested),
                sound.replace("\"ip\":\"10.0.0.1\"", "\"ip\":\"a b\""),
                sound.replace("[\"10.0.0.2:90\"]", "[null]"),
                sound.replace("[\"10.0.0.2:90\"]", nested),
                sound.replace("10.0.0.2:90", "10.0.0.2:99999"),
                "null",
                "[]",
                "\u0000");
        try (log;
                SettingsFileWatcher watcher = new SettingsFileWatcher(file, Files.readAllBytes(file), log, next -> {
                    next.controlPeerAddresses();
                    next.host();
                    reloaded.add(next);
                })) {
            for (String each : unusable) {
                Files.writeString(file, each);
                assertDoesNotThrow(watcher::reloadIfChanged, each.substring(0, Math.min(each.length(), 300)));
                assertEquals(0, reloaded.size(), each.substring(0, Math.min(each.length(), 300)));
            }
            Files.writeString(file, settings("10.0.0.3:90"));
            watcher.reloadIfChanged();
            assertEquals(1, reloaded.size());
        }
    }

    /** Guards against a process that stops reading its settings after a change that could not be applied. */
    @Test
    void readsTheNextFileAfterOneThatCouldNotBeApplied() throws Exception {
        Path file = folder.resolve("settings.json");
        Files.writeString(file, settings("10.0.0.2:90"));
        List<NodeSettings> reloaded = new ArrayList<>();
        DecisionLog log = new DecisionLog("n", "entry", new SystemClock(), OutputStream.nullOutputStream());
        try (log;
                SettingsFileWatcher watcher = new SettingsFileWatcher(file, Files.readAllBytes(file), log, next -> {
                    reloaded.add(next);
                    throw new IllegalStateException("cannot be applied");
                })) {
            Files.writeString(file, settings("10.0.0.3:90"));
            assertDoesNotThrow(watcher::reloadIfChanged);
            Files.writeString(file, settings("10.0.0.4:90"));
            assertDoesNotThrow(watcher::reloadIfChanged);
            assertEquals(2, reloaded.size());
        }
    }
}
