package org.elmline.cli.explain;

import java.nio.file.Files;
import java.nio.file.Path;

import org.elmline.cli.ExitCode;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Counts lost requests by time from the logs of entries. */
class LossesCommandTest {
    @TempDir
    private Path folder;

    private final CommandRun command = new CommandRun();

    private static String line(long at, String event, String request, String fields) {
        return "{\"at\":" + at + ",\"mono\":1,\"host\":\"e\",\"role\":\"entry\",\"event\":\"" + event
                + "\",\"request\":\"" + request + "\"" + fields + "}\n";
    }

    /**
     * Of five requests one is answered, one is answered after a failed attempt, two are lost for a logged reason, and
     * one has no end.
     */
    @Test
    void countsOutcomesByTimeOfArrival() throws Exception {
        Path log = Files.writeString(
                folder.resolve("entry.log"),
                line(10_100, "placed", "a", ",\"ageMs\":60")
                        + line(12_500, "streamed", "a", ",\"ageMs\":2460,\"longestPauseMs\":210")
                        + line(10_300, "server silent", "b", ",\"ageMs\":100")
                        + line(10_400, "answered", "b", ",\"ageMs\":200,\"status\":200")
                        + line(13_000, "refused", "c", ",\"ageMs\":0,\"why\":\"no place in time\"")
                        + line(13_100, "turned away", "d", ",\"why\":\"no routing table yet\"")
                        + line(13_200, "placed", "e", ",\"ageMs\":1")
                        + "not a line of ours\n");
        assertEquals(0, command.run("losses", log.toString()));
        String[] lines = command.output().strip().split("\\R");
        assertEquals(3, lines.length);
        assertEquals("0.0 2 2 1 60 210", lines[1].strip().replaceAll(" +", " "));
        assertTrue(lines[2].strip().startsWith("2.0"), lines[2]);
        assertTrue(
                lines[2].endsWith("1 no end; 1 refused: no place in time; 1 turned away: no routing table yet"),
                lines[2]);
    }

    @Test
    void reportsLogsWithoutRequests() throws Exception {
        Path log = Files.writeString(folder.resolve("entry.log"), "nothing\n");
        assertEquals(ExitCode.NOT_FOUND.code(), command.run("losses", log.toString()));
    }
}
