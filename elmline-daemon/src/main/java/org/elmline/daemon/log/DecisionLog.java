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
    private static final int QUEUE_LINES = 4_096;

    /** Lines of one kind a second; failures come in bursts, and past this they repeat each other. */
    private static final int LINES_PER_SECOND = 500;

    /** Lines on successes of one kind a second, from which on only some requests' are written. */
    private static final int SUCCESSES_PER_SECOND = 50;

    /** Of this many requests one is written once successes are sampled. */
    private static final int ONE_OF = 10;

    private static final long NANOS_PER_SECOND = 1_000_000_000L;
    private static final long CLOSE_MILLIS = 300;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Map<String, Rate> rates = new ConcurrentHashMap<>();
    private final AtomicLong dropped = new AtomicLong();
    private final AtomicLong sampledOut = new AtomicLong();
    private final MonotonicClock clock;
    private final String head;
    private final OutputStream out;
    private final Thread writer;
    private volatile boolean closed;

    private static final class Rate {
        private long second;
        private int lines;

        void roll(long now) {
            if (second != now) {
                second = now;
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
        this.head = ",\"host\":\"" + host + "\",\"role\":\"" + role + "\",\"event\":\"";
        this.writer = new Thread(this::run, "log");
        writer.setDaemon(true);
        writer.start();
    }

    /** Begins a line of a kind; nothing is written before {@link Line#write()}. */
    public Line line(String event) {
        StringBuilder text = new StringBuilder(192);
        text.append("{\"at\":").append(System.currentTimeMillis());
        text.append(",\"mono\":").append(clock.millis());
        text.append(head).append(event).append('"');
        return new Line(this, event, text);
    }

    void submit(String event, String text) {
        if (linesThisSecond(event, 1) > LINES_PER_SECOND || !queue.offer(text)) {
            dropped.incrementAndGet();
        }
    }

    /** Writes a line on a success unless it is one of too many. Returns whether it was taken. */
    boolean submitSampled(String event, String text, String request) {
        if (linesThisSecond(event, 0) >= SUCCESSES_PER_SECOND && !sampled(request)) {
            sampledOut.incrementAndGet();
            return false;
        }
        submit(event, text);
        return true;
    }

    /** The same for all lines of a request, so that of those that are written the whole story is. */
    private static boolean sampled(String request) {
        return Math.floorMod(request.hashCode(), ONE_OF) == 0;
    }

    /** Counts so many more lines of a kind. Returns the lines of the kind in this second, those included. */
    private int linesThisSecond(String event, int more) {
        Rate rate = rates.computeIfAbsent(event, each -> new Rate());
        synchronized (rate) {
            rate.roll(clock.nanos() / NANOS_PER_SECOND);
            rate.lines += more;
            return rate.lines;
        }
    }

    /** Lines that were dropped so far. */
    public long dropped() {
        return dropped.get();
    }

    /** Lines on successes that were left out so far as there were many. */
    public long sampledOut() {
        return sampledOut.get();
    }

    private void run() {
        long told = 0;
        StringBuilder batch = new StringBuilder();
        while (!closed || !queue.isEmpty()) {
            try {
                String first = queue.poll(1, TimeUnit.SECONDS);
                batch.setLength(0);
                for (String next = first; next != null; next = queue.poll()) {
                    batch.append(next);
                }
                long now = dropped.get() + sampledOut.get();
                if (now != told) {
                    told = now;
                    batch.append(leftOut());
                }
                if (batch.length() > 0) {
                    out.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                    out.flush();
                }
            } catch (InterruptedException e) {
                return;
            } catch (IOException e) {
                // Nobody reads the log any more; deciding goes on, and the count tells of it.
                dropped.incrementAndGet();
            }
        }
    }

    private String leftOut() {
        return "{\"at\":" + System.currentTimeMillis() + head + "lines dropped\",\"total\":" + dropped.get()
                + ",\"successesLeftOut\":" + sampledOut.get() + "}\n";
    }

    /** Writes what waits, for a short while. */
    @Override
    public void close() {
        closed = true;
        try {
            writer.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        writer.interrupt();
    }
}
