package org.elmline.cli.explain;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Finds the lines of one request in the logs of several processes. */
class ExplainCommandTest {
    @TempDir
    private Path folder;

    private final CommandRun command = new CommandRun();

    /** The call was sent to a server that had announced its leaving a second before, and then to another one. */
    @Test
    void printsLinesOfRequestAttemptsAndServersInOrder() throws Exception {
        Path entry = Files.writeString(
                folder.resolve("entry.log"),
                "{\"at\":2000,\"mono\":1,\"host\":\"e\",\"role\":\"entry\",\"event\":\"placed\",\"request\":\"q\","
                        + "\"attempt\":\"a1\",\"server\":\"s\"}\n"
                        + "not a line of ours\n"
                        + "{\"at\":2003,\"mono\":4,\"host\":\"e\",\"role\":\"entry\",\"event\":\"answered\","
                        + "\"request\":\"q\",\"status\":200}\n"
                        + "{\"at\":2001,\"mono\":2,\"host\":\"e\",\"role\":\"entry\",\"event\":\"dispatcher passed over\","
                        + "\"attempt\":\"a1\"}\n"
                        + "{\"at\":2002,\"mono\":3,\"host\":\"e\",\"role\":\"entry\",\"event\":\"answered\","
                        + "\"request\":\"other\",\"server\":\"s\"}\n");
        Path control = Files.writeString(
                folder.resolve("control.log"),
                "  -3.2 core-1 {\"at\":1000,\"mono\":9,\"host\":\"c\",\"role\":\"control\",\"event\":\"server left\","
                        + "\"server\":\"s\"}\n");
        assertEquals(0, command.run("explain", "q", entry.toString(), control.toString()));
        String[] lines = command.output().strip().split("\\R");
        assertEquals(4, lines.length);
        assertTrue(lines[0].startsWith("1000 c server left"), lines[0]);
        assertTrue(lines[1].contains("placed") && lines[1].contains("server=s"), lines[1]);
        assertTrue(lines[2].contains("dispatcher passed over"));
        assertTrue(lines[3].contains("status=200"));
        assertFalse(command.output().contains("other"));
    }

    @Test
    void reportsUnknownRequestAndUnreadableFile() throws Exception {
        Path log = Files.writeString(folder.resolve("entry.log"), "{\"event\":\"started\"}\n");
        assertEquals(6, command.run("explain", "q", log.toString()));
        assertEquals(3, command.run("explain", "q", folder.resolve("none").toString()));
    }
}
