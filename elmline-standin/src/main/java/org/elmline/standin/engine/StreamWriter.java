package org.elmline.standin.engine;

import java.io.IOException;
import java.io.OutputStream;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.Ran;
import org.elmline.core.engine.StreamEvent;
import org.elmline.wire.engine.EngineJson;

/**
 * Writes one stream to one reader, one event per line. Every second without output it writes an empty line as
 * heartbeat.
 */
final class StreamWriter {
    private static final long HEARTBEAT_MILLIS = 1_000;
    private static final long FAULT_POLL_MILLIS = 50;
    private static final int MISSING_PIECE_INTERVAL = 5;
    private static final AttemptId CROSSED_ATTEMPT = AttemptId.of("crossed-by-standin");

    private final Engine engine;
    private final EngineFaults faults;
    private final OutputStream out;
    private final int initialReaderDropCount;

    StreamWriter(Engine engine, EngineFaults faults, OutputStream out) {
        this.engine = engine;
        this.faults = faults;
        this.out = out;
        initialReaderDropCount = faults.readerDropCount();
    }

    /** Returns after the end of the stream was written; throws when either side has closed the connection. */
    void write(EngineStream stream, int offset) throws IOException, InterruptedException {
        int next = offset;
        int count = stream.answer().pieceCount();
        long lastWriteNanos = System.nanoTime();
        while (true) {
            checkConnection();
            boolean finished = stream.isFinished();
            int available = stream.availablePieces();
            if (stream.isCancelled()) {
                writeLine(new StreamEvent.Failed(stream.attempt(), Ran.YES, "cancelled"));
                return;
            }
            if (next < available && !faults.frozen()) {
                writePieces(stream, next, available);
                next = available;
                lastWriteNanos = System.nanoTime();
            }
            if (finished && next >= count && !faults.frozen()) {
                writeLine(new StreamEvent.End(
                        stream.attempt(), count, stream.answer().finishReason()));
                engine.onDelivered(stream);
                return;
            }
            if (isHeartbeatDue(lastWriteNanos)) {
                out.write('\n');
                out.flush();
                lastWriteNanos = System.nanoTime();
            }
            awaitMore(stream, next);
        }
    }

    private void awaitMore(EngineStream stream, int next) throws InterruptedException {
        if (faults.frozen()) {
            Thread.sleep(FAULT_POLL_MILLIS);
            return;
        }
        stream.awaitMore(next, FAULT_POLL_MILLIS);
    }

    private boolean isHeartbeatDue(long lastWriteNanos) {
        return !faults.frozen() && System.nanoTime() - lastWriteNanos > HEARTBEAT_MILLIS * 1_000_000;
    }

    private void checkConnection() throws IOException {
        if (engine.isClosed() || faults.readerDropCount() != initialReaderDropCount) {
            throw new IOException("reader dropped");
        }
    }

    private void writePieces(EngineStream stream, int from, int to) throws IOException {
        PieceFault fault = faults.pieces();
        for (int i = from; i < to; i++) {
            StreamEvent.Piece piece = piece(stream, i);
            switch (fault) {
                case DOUBLED -> {
                    appendLine(piece);
                    appendLine(piece);
                }
                case MISSING -> {
                    if (i % MISSING_PIECE_INTERVAL != MISSING_PIECE_INTERVAL - 1) {
                        appendLine(piece);
                    }
                }
                case REORDERED -> i = writeReordered(stream, i, to);
                case CROSSED -> {
                    appendLine(new StreamEvent.Piece(CROSSED_ATTEMPT, i, " crossed"));
                    appendLine(piece);
                }
                default -> appendLine(piece);
            }
        }
        out.flush();
    }

    private int writeReordered(EngineStream stream, int index, int to) throws IOException {
        boolean pair = index + 1 < to;
        if (pair) {
            appendLine(piece(stream, index + 1));
        }
        appendLine(piece(stream, index));
        return pair ? index + 1 : index;
    }

    private static StreamEvent.Piece piece(EngineStream stream, int index) {
        return new StreamEvent.Piece(stream.attempt(), index, stream.answer().piece(index));
    }

    private void writeLine(StreamEvent event) throws IOException {
        appendLine(event);
        out.flush();
    }

    private void appendLine(StreamEvent event) throws IOException {
        out.write(EngineJson.writeEvent(event));
        out.write('\n');
    }
}
