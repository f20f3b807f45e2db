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
 * Writes decisions as JSON lines without ever holding up who decides: lines wait in a bounded queue for one writer
 * thread, and what does not fit, or comes more often than its kind may, is dropped and counted. Of many successes only
 * those of some requests are written. The counts are logged. Safe for use by many threads.
 */
public final class DecisionLog implements AutoCloseable {
    /** Lines that may wait for a slow output. */
    private static final int MAX_QUEUED_LINES = 4_096;

    /** Lines of one kind a second; failures come in bursts, and past this they repeat each other. */
    private static final int MAX_LINES_PER_SECOND = 500;

    /** Lines on successes of one kind a second, from which on only some requests' are written. */
    private static final int SAMPLING_THRESHOLD_LINES_PER_SECOND = 50;

    /** Of this many requests one is written once successes are sampled. */
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
     * @param host name of this host, on every line
     * @param out where lines go; closed by its owner
     */
    public DecisionLog(String host, String role, MonotonicClock clock, OutputStream out) {
        this.clock = clock;
        this.out = out;
        this.linePrefix = ",\"host\":\"" + host + "\",\"role\":\"" + role + "\",\"event\":\"";
        this.writer = new Thread(this::writeLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Begins a line of a kind; nothing is written before {@link LogLine#write()}. */
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

    /** Writes a line on a success unless it is one of too many. Returns whether it was taken. */
    boolean submitSampled(String event, String text, String request) {
        if (countLinesThisSecond(event, 0) >= SAMPLING_THRESHOLD_LINES_PER_SECOND && !isSampled(request)) {
            sampledOutLines.incrementAndGet();
            return false;
        }
        submit(event, text);
        return true;
    }

    /** The same for all lines of a request, so that of those that are written the whole story is. */
    private static boolean isSampled(String request) {
        return Math.floorMod(request.hashCode(), SAMPLING_INTERVAL_REQUESTS) == 0;
    }

    /** Counts so many more lines of a kind. Returns the lines of the kind in this second, those included. */
    private int countLinesThisSecond(String event, int count) {
        LineRate rate = lineRates.computeIfAbsent(event, each -> new LineRate());
        synchronized (rate) {
            rate.resetOnNewSecond(clock.nanos() / NANOS_PER_SECOND);
            rate.lines += count;
            return rate.lines;
        }
    }

    /** Lines that were dropped so far. */
    public long droppedLines() {
        return droppedLines.get();
    }

    /** Lines on successes that were left out so far as there were many. */
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
                // Nobody reads the log any more; deciding goes on, and the count tells of it.
                droppedLines.incrementAndGet();
            }
        }
    }

    private String droppedLinesSummary() {
        return "{\"at\":" + System.currentTimeMillis() + linePrefix + "lines dropped\",\"total\":" + droppedLines.get()
                + ",\"successesLeftOut\":" + sampledOutLines.get() + "}\n";
    }

    /** Writes what waits, for a short while. */
    @Override
    public void close() {
        closed = true;
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        writer.interrupt();
    }
}
