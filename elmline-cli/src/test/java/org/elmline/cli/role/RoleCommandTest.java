package org.elmline.cli.role;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import org.elmline.cli.ExitCode;
import org.elmline.cli.Main;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.slf4j.LoggerFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;

class RoleCommandTest {
    @TempDir
    Path folder;

    private final LoggerContext logs = (LoggerContext) LoggerFactory.getILoggerFactory();

    @AfterEach
    void resetLogs() {
        ownLogger().setLevel(Level.INFO);
        logs.putProperty("host", "");
        logs.putProperty("role", "");
    }

    /**
     * Two processes of one host are configured with the same port; the second can't start. An operator must find its
     * log lines among those of many hosts: every line from the first on carries the name and role of its settings, and
     * the level of the settings applies.
     */
    @Test
    void appliesLogSettingsBeforeTheRoleStarts() throws IOException {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            Path settings = Files.writeString(
                    folder.resolve("service.json"),
                    """
                    {"role":"standin-service","id":"s7","region":"r","failureDomain":"a","address":"127.0.0.1:%d",
                     "entries":["127.0.0.1:1"],"backendKey":"backend-key-0123456789","service":"booking",
                     "log":{"level":"ERROR"}}"""
                            .formatted(taken.getLocalPort()));
            int code = Main.commandLine().execute("standin", "service", "--settings", settings.toString());
            assertEquals(ExitCode.FAILED.code(), code);
        }
        assertEquals("s7", logs.getProperty("host"));
        assertEquals("standin-service", logs.getProperty("role"));
        assertEquals(Level.ERROR, ownLogger().getLevel());
    }

    private Logger ownLogger() {
        return logs.getLogger("org.elmline");
    }
}
