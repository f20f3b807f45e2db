package org.elmline.standin.engine;

/** Faults of one stand-in engine that a test or an operator of stand-ins may set while it runs. */
public final class EngineFaults {
    private volatile PieceFault pieces = PieceFault.NONE;
    private volatile double slowdown = 1;
    private volatile boolean reportsNoLoad;
    private volatile boolean frozen;
    private volatile int readerDropCount;

    public PieceFault pieces() {
        return pieces;
    }

    public void pieces(PieceFault fault) {
        pieces = fault;
    }

    public double slowdown() {
        return slowdown;
    }

    /** Makes every later step this many times as long. */
    public void slowdown(double factor) {
        slowdown = factor;
    }

    public boolean reportsNoLoad() {
        return reportsNoLoad;
    }

    /** Reports an idle engine, whatever it does. */
    public void reportsNoLoad(boolean value) {
        reportsNoLoad = value;
    }

    public boolean frozen() {
        return frozen;
    }

    /** Stops writing to streams, heartbeats too, while connections stay open: a frozen engine. */
    public void frozen(boolean value) {
        frozen = value;
    }

    int readerDropCount() {
        return readerDropCount;
    }

    /** Breaks every connection that reads a stream now; the streams themselves live on. */
    public synchronized void dropReaders() {
        readerDropCount++;
    }

    /** Settings of faults as a stand-in process takes them over HTTP; null leaves one as it is. */
    public record Settings(PieceFault pieces, Double slowdown, Boolean reportsNoLoad, Boolean silent, Boolean drop) {}

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
        if (Boolean.TRUE.equals(settings.drop())) {
            dropReaders();
        }
    }
}
