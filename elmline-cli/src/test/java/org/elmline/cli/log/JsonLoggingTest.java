package org.elmline.cli.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.elmline.daemon.settings.LogLevel;
import org.jboss.logging.Logger;
import org.junit.jupiter.api.Test;
import org.slf4j.LoggerFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class JsonLoggingTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();

    @Test
    void writesJsonLinesFromTheSetLevelOn() throws Exception {
        LoggerContext context = new LoggerContext();
        context.setMDCAdapter(new LogbackMDCAdapter());
        JsonLogging.install(context, out, LogLevel.INFO);
        context.putProperty("host", "e1");
        context.getLogger("org.elmline.daemon").info("serves \"callers\"\nat {}", "127.0.0.1:1");
        context.getLogger("org.elmline.daemon").debug("not a change of state");
        context.getLogger("io.undertow").info("an info line of a library");
        context.getLogger("io.undertow").warn("a warning of a library");
        JsonLogging.setLevel(context, LogLevel.ERROR);
        context.getLogger("org.elmline.daemon").warn("below the level");

        List<String> lines = out.toString(StandardCharsets.UTF_8).lines().toList();
        assertEquals(
                2, lines.size(), () -> lines + " " + context.getStatusManager().getCopyOfStatusList());
        JsonNode first = new ObjectMapper().readTree(lines.get(0));
        assertEquals("serves \"callers\"\nat 127.0.0.1:1", first.path("message").asText());
        assertEquals("INFO", first.path("level").asText());
        assertEquals("org.elmline.daemon", first.path("logger_name").asText());
        assertEquals("e1", first.path("host").asText());
        assertTrue(first.has("@timestamp"), lines::toString);
    }

    @Test
    void jbossLoggingWritesThroughLogback() {
        LoggerContext context = assertInstanceOf(LoggerContext.class, LoggerFactory.getILoggerFactory());
        JsonLogging.install(context, out, LogLevel.INFO);
        try {
            Logger.getLogger("org.elmline.daemon").infof("lease %s", "granted");
            assertTrue(out.toString(StandardCharsets.UTF_8).contains("\"message\":\"lease granted\""), out::toString);
        } finally {
            JsonLogging.install(context, System.err, LogLevel.INFO);
        }
    }
}
