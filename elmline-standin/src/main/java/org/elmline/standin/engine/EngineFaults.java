package org.elmline.standin.engine;

import org.elmline.standin.ColdState;

/** Faults of one stand-in engine that may be set while it runs. Thread-safe. */
public final class EngineFaults {
    private volatile PieceFault pieces = PieceFault.NONE;
    private volatile double slowdown = 1;
    private volatile boolean reportsNoLoad;
    private volatile boolean frozen;
    private volatile String crashingText = "";
    private volatile int readerDropCount;
    private final ColdState cold = new ColdState(System::nanoTime);

    public PieceFault pieces() {
        return pieces;
    }

    public void pieces(PieceFault fault) {
        pieces = fault;
    }

    public double slowdown() {
        return slowdown;
    }

    /** Multiplies the duration of every later step by this factor. */
    public void slowdown(double factor) {
        slowdown = factor;
    }

    public boolean reportsNoLoad() {
        return reportsNoLoad;
    }

    /** Whether to report the load of an idle engine, whatever the actual load. */
    public void reportsNoLoad(boolean value) {
        reportsNoLoad = value;
    }

    public boolean frozen() {
        return frozen;
    }

    /**
     * Whether to stop writing to streams, heartbeats included, while connections stay open, as a frozen engine does.
     */
    public void frozen(boolean value) {
        frozen = value;
    }

    /** Ends the engine when it begins the answer to a prompt that contains this text; an empty text ends it never. */
    public void crashOnPromptsWith(String text) {
        crashingText = text;
    }

    boolean crashesOn(String prompt) {
        return !crashingText.isEmpty() && prompt.contains(crashingText);
    }

    int readerDropCount() {
        return readerDropCount;
    }

    /** Closes every connection that is reading a stream; the streams themselves continue. */
    public synchronized void dropReaders() {
        readerDropCount++;
    }

    /** Whether the engine is cold; it takes only some requests then, and ends above that rate. */
    public ColdState cold() {
        return cold;
    }

    /** Fault settings as a stand-in process accepts them over HTTP; null leaves a setting unchanged. */
    public record Settings(
            PieceFault pieces,
            Double slowdown,
            Boolean reportsNoLoad,
            Boolean silent,
            Boolean drop,
            String crashOnPromptsWith,
            Double coldSeconds,
            Double coldPerSecond) {}

    public void apply(Settings settings) {
        if (settings.pieces() != null) {
            pieces = settings.pieces();
        }
        if (settings.slowdown() != null) {
            slowdown = settings.slowdown();
        }
        if (settings.reportsNoLoad() != null) {
            reportsNoLoad = settings.reportsNoLoad();
        }
        if (settings.silent() != null) {
            frozen = settings.silent();
        }
        if (settings.crashOnPromptsWith() != null) {
            crashingText = settings.crashOnPromptsWith();
        }
        if (settings.coldSeconds() != null) {
            cold.set(settings.coldSeconds(), settings.coldPerSecond() == null ? 0 : settings.coldPerSecond());
        }
        if (Boolean.TRUE.equals(settings.drop())) {
            dropReaders();
        }
    }
}
