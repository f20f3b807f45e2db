package org.elmline.daemon.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.elmline.core.engine.StreamEvent;
import org.elmline.core.engine.StreamListener;

/** Records the events of one stream. */
final class StreamLog implements StreamListener {
    private final List<StreamEvent> events = new ArrayList<>();
    private final CountDownLatch ended = new CountDownLatch(1);

    @Override
    public synchronized void onEvent(StreamEvent event) {
        events.add(event);
        notifyAll();
        if (!(event instanceof StreamEvent.Piece)) {
            ended.countDown();
        }
    }

    /** The End or Failed event. */
    StreamEvent last() throws InterruptedException {
        if (!ended.await(30, TimeUnit.SECONDS)) {
            throw new AssertionError("stream did not end: " + text());
        }
        synchronized (this) {
            return events.get(events.size() - 1);
        }
    }

    synchronized void awaitPieces(int count) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (events.size() < count) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("too few pieces: " + events.size());
            }
            wait(100);
        }
    }

    synchronized List<StreamEvent.Piece> pieces() {
        return events.stream()
                .filter(StreamEvent.Piece.class::isInstance)
                .map(StreamEvent.Piece.class::cast)
                .toList();
    }

    String text() {
        StringBuilder text = new StringBuilder();
        pieces().forEach(piece -> text.append(piece.text()));
        return text.toString();
    }
}
