package org.elmline.daemon.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.elmline.core.common.MonotonicClock;

/**
 * Writes decisions as JSON lines without blocking the deciding thread: lines wait in a bounded queue for one writer
 * thread, and lines that don't fit in the queue or exceed the rate limit of their kind are dropped and counted. When
 * there are many successes, only those of a sample of the requests are written. The counts are logged. Safe for use by
 * many threads.
 */
public final class DecisionLog implements AutoCloseable {
    /** Lines that may wait while the output is slow. */
    private static final int MAX_QUEUED_LINES = 4_096;

    /** Lines of one kind per second; failures come in bursts, in which further lines add no information. */
    private static final int MAX_LINES_PER_SECOND = 500;

    /** Lines of one kind per second from which on successes are logged for a sample of the requests only. */
    private static final int SAMPLING_THRESHOLD_LINES_PER_SECOND = 50;

    /** One in this many requests is logged while successes are sampled. */
    private static final int SAMPLING_INTERVAL_REQUESTS = 10;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long CLOSE_TIMEOUT_MILLIS = 300;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final Map<String, LineRate> lineRates = new ConcurrentHashMap<>();
    private final AtomicLong droppedLines = new AtomicLong();
    private final AtomicLong sampledOutLines = new AtomicLong();
    private final MonotonicClock clock;
    private final String linePrefix;
    private final OutputStream out;
    private final Thread writer;
    private volatile boolean closed;

    private static final class LineRate {
        private long currentSecond;
        private int lines;

        void resetOnNewSecond(long now) {
            if (currentSecond != now) {
                currentSecond = now;
                lines = 0;
            }
        }
    }

    /**
     * @param host name of this host, written on every line
     * @param role role of this process, written on every line
     * @param out receives the lines; the caller closes it
     */
    public DecisionLog(String host, String role, MonotonicClock clock, OutputStream out) {
        this.clock = clock;
        this.out = out;
        this.linePrefix = ",\"host\":\"" + host + "\",\"role\":\"" + role + "\",\"event\":\"";
        this.writer = new Thread(this::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Starts a line for an event; nothing is written before {@link LogLine#write()}. */
    public LogLine line(String event) {
        StringBuilder text = new StringBuilder(192);
        text.append("{\"at\":").append(System.currentTimeMillis());
        text.append(",\"mono\":").append(clock.millis());
        text.append(linePrefix).append(event).append('"');
        return new LogLine(this, event, text);
    }

    void submit(String event, String text) {
        if (countLinesThisSecond(event, 1) > MAX_LINES_PER_SECOND || !queue.offer(text)) {
            droppedLines.incrementAndGet();
        }
    }

    /** Writes the line of a success unless it is sampled out. Returns whether it was accepted. */
    boolean submitSampled(String event, String text, String request) {
        if (countLinesThisSecond(event, 0) >= SAMPLING_THRESHOLD_LINES_PER_SECOND && !isSampled(request)) {
            sampledOutLines.incrementAndGet();
            return false;
        }
        submit(event, text);
        return true;
    }

    /** Depends on the request id alone, so that sampling keeps either all lines of a request or none. */
    private static boolean isSampled(String request) {
        return Math.floorMod(request.hashCode(), SAMPLING_INTERVAL_REQUESTS) == 0;
    }

    /**
     * Adds to the number of lines of a kind. Returns the number of its lines in the current second, including these.
     */
    private int countLinesThisSecond(String event, int count) {
        LineRate rate = lineRates.computeIfAbsent(event, each -> new LineRate());
        synchronized (rate) {
            rate.resetOnNewSecond(clock.nanos() / NANOS_PER_SECOND);
            rate.lines += count;
            return rate.lines;
        }
    }

    /**
     * Number of lines dropped so far by the rate limit or a full queue; a failed write of several lines counts as one.
     */
    public long droppedLines() {
        return droppedLines.get();
    }

    /** Number of lines on successes left out so far by sampling. */
    public long sampledOutLines() {
        return sampledOutLines.get();
    }

    private void writeLines() {
        long reported = 0;
        StringBuilder batch = new StringBuilder();
        while (!closed || !queue.isEmpty()) {
            try {
                String first = queue.poll(1, TimeUnit.SECONDS);
                batch.setLength(0);
                for (String next = first; next != null; next = queue.poll()) {
                    batch.append(next);
                }
                long leftOut = droppedLines.get() + sampledOutLines.get();
                if (leftOut != reported) {
                    reported = leftOut;
                    batch.append(droppedLinesSummary());
                }
                if (batch.length() > 0) {
                    out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                }
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                // The output is closed or broken; the process goes on without its log, and the failed write is counted.
                droppedLines.incrementAndGet();
            }
        }
    }

    private String droppedLinesSummary() {
        return "{\"at\":" + System.currentTimeMillis() + linePrefix + "lines dropped\",\"total\":" + droppedLines.get()
                + ",\"successesLeftOut\":" + sampledOutLines.get() + "}\n";
    }

    /** Writes the queued lines, for up to 300 ms, also on a thread that is interrupted. */
    @Override
    public void close() {
        closed = true;
        boolean wasInterrupted = Thread.interrupted();
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            wasInterrupted = true;
        }
        writer.interrupt();
        if (wasInterrupted) {
            Thread.currentThread().interrupt();
        }
    }
}
