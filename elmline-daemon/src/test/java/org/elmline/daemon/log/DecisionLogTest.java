package org.elmline.daemon.log;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import com.fasterxml.jackson.databind.JsonNode;
import org.elmline.core.common.ManualClock;
import org.elmline.daemon.runtime.SystemClock;
import org.elmline.wire.codec.Codecs;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Log lines are complete JSON, limited in rate and number, and never block the deciding thread. */
class DecisionLogTest {
    private static final long SLOW_WRITE_NANOS = 20_000_000;

    @Test
    void aLineIsOneJsonObject() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DecisionLog log = new DecisionLog("h", "entry", new SystemClock(), out)) {
            log.line("placed")
                    .with("request", "a\"b\\c\nd")
                    .with("leftMs", 7)
                    .with("left", (Object) null)
                    .with("late", false)
                    .write();
        }
        JsonNode line = Codecs.jsonMapper().readTree(out.toString());
        assertEquals("a\"b\\c\nd", line.get("request").asText());
        assertEquals(7, line.get("leftMs").asInt());
        assertEquals("placed", line.get("event").asText());
        assertEquals(null, line.get("left"));
    }

    /** Guards against an error that ends a process and is missing in its log, as the ending thread is interrupted. */
    @Test
    void writesQueuedLinesWhenClosedByAnInterruptedThread() {
        ByteArrayOutputStream out = new ByteArrayOutputStream() {
            @Override
            public synchronized void write(byte[] bytes, int offset, int length) {
                long endNanos = System.nanoTime() + SLOW_WRITE_NANOS;
                while (System.nanoTime() - endNanos < 0) {
                    Thread.onSpinWait();
                }
                super.write(bytes, offset, length);
            }
        };
        DecisionLog log = new DecisionLog("h", "entry", new ManualClock(), out);
        for (int i = 0; i < 200; i++) {
            log.line("refused").write();
        }
        Thread.currentThread().interrupt();
        log.close();
        assertTrue(Thread.interrupted(), "the thread is still interrupted");
        assertEquals(200, out.toString().lines().count());
    }

    /** A flood of lines of one kind leaves room for other kinds, and the number of dropped lines is logged. */
    @Test
    void limitsLinesOfOneKindAndCountsDroppedOnes() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ManualClock clock = new ManualClock();
        try (DecisionLog log = new DecisionLog("h", "entry", clock, out)) {
            for (int i = 0; i < 1_400; i++) {
                log.line("refused").write();
            }
            log.line("started").write();
            assertEquals(900, log.droppedLines());
        }
        String text = out.toString();
        assertTrue(text.contains("\"event\":\"started\""));
        assertTrue(text.contains("\"event\":\"lines dropped\",\"total\":900"), "count of left-out lines is logged");
    }

    /**
     * Guards against missing lines on rejections: in a busy second, lines on successful calls used up the rate limit.
     * Successes are sampled by request, so that each request is logged with all its lines or none, and no rejection is
     * left out.
     */
    @Test
    void samplesSuccessesAndWritesAllFailures() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (DecisionLog log = new DecisionLog("h", "entry", new ManualClock(), out)) {
            for (int i = 0; i < 400; i++) {
                SampledRequestLog lines = new SampledRequestLog("r" + i);
                lines.logSuccess(log.line("placed").with("request", "r" + i));
                lines.logSuccess(log.line("streamed").with("request", "r" + i));
                new SampledRequestLog("f" + i).logFailure(log.line("refused").with("request", "f" + i));
            }
            assertEquals(0, log.droppedLines());
            assertTrue(log.sampledOutLines() > 500, log.sampledOutLines() + " left out");
        }
        String text = out.toString();
        assertEquals(400, count(text, "\"event\":\"refused\""));
        assertEquals(count(text, "\"event\":\"placed\""), count(text, "\"event\":\"streamed\""));
        assertTrue(text.contains("\"successesLeftOut\":"), "count of left-out lines is logged");
    }

    /**
     * Guards against failures without their context: a stream breaks off in a busy second and its server is unknown,
     * because the line on its placement was sampled out. A failed request is logged in full, with the time of each
     * step.
     */
    @Test
    void writesAllLinesOfFailedRequest() throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ManualClock clock = new ManualClock();
        try (DecisionLog log = new DecisionLog("h", "entry", clock, out)) {
            for (int i = 0; i < 400; i++) {
                new SampledRequestLog("r" + i).logSuccess(log.line("placed"));
            }
            SampledRequestLog lines = new SampledRequestLog("broken");
            lines.logSuccess(log.line("placed").with("server", "s7"));
            clock.advance(Duration.ofMillis(300));
            lines.logFailure(log.line("stream broken off").with("request", "broken"));
        }
        String text = out.toString();
        int placed = text.indexOf("\"server\":\"s7\"");
        assertTrue(
                placed >= 0 && placed < text.indexOf("stream broken off"),
                "the line on the placement precedes the failure");
    }

    private static int count(String text, String part) {
        return text.split(Pattern.quote(part), -1).length - 1;
    }

    /** A blocked output must not block the I/O thread: lines are dropped instead. */
    @Test
    void dropsLinesWhileOutputIsBlocked() throws Exception {
        CountDownLatch blocked = new CountDownLatch(1);
        CountDownLatch release = new CountDownLatch(1);
        OutputStream out = new OutputStream() {
            @Override
            public void write(int one) {
                blocked.countDown();
                try {
                    release.await();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        try (DecisionLog log = new DecisionLog("h", "entry", new SystemClock(), out)) {
            log.line("first").write();
            assertTrue(blocked.await(5, TimeUnit.SECONDS));
            for (int i = 0; i < 10_000; i++) {
                log.line("kind " + i % 200).write();
            }
            assertTrue(log.droppedLines() > 5_000);
            release.countDown();
        }
    }
}
