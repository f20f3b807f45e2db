package org.elmline.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.List;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/**
 * A stream to one caller, from one server or from several in turn: forwards complete events only, each event id once
 * and in order. Used on the I/O thread only.
 */
final class StreamForwarder {
    private final Call call;
    private final CallerChannel callerChannel;
    private final ServerSentEventParser parser = new ServerSentEventParser();
    private Attempt attempt;
    private long lastEventId = ServerSentEventParser.NO_ID;
    private boolean completing;
    private long firstEventAtMillis;
    private long lastEventAtMillis;
    private long longestPauseMillis;

    StreamForwarder(Call call, int status, HeaderMap headers) {
        this.call = call;
        call.exchange().setStatusCode(status);
        HeaderMap responseHeaders = call.exchange().getResponseHeaders();
        call.context().protocol().copyAnswerHeaders(headers, responseHeaders);
        responseHeaders.remove(Headers.CONTENT_LENGTH);
        // Set explicitly: on a connection that closes after the answer the HTTP server would leave out chunked
        // encoding, and a stream that is broken off would look complete.
        responseHeaders.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        this.lastEventId = call.head().lastEventId();
        this.callerChannel = new CallerChannel(call.exchange(), call.memory(), this::onWritable, this::onChannelClosed);
    }

    /** Forwards the events of this attempt from now on. */
    void switchTo(Attempt next) {
        attempt = next;
        parser.reset();
        call.memory().setPartialEvent(0);
    }

    /** Id of the last event that was forwarded; negative without one. */
    long lastEventId() {
        return lastEventId;
    }

    boolean hasPartialEvent() {
        return parser.hasPartialEvent();
    }

    /** Forwards the events that the bytes complete. Returns what is wrong with them, null when they are valid. */
    String forward(ByteBuffer bytes) {
        Attempt source = attempt;
        List<ServerSentEventParser.Event> events;
        try {
            events = parser.parse(bytes);
        } catch (IllegalStateException e) {
            return e.getMessage();
        }
        call.memory().setPartialEvent(parser.heldBytes());
        for (ServerSentEventParser.Event each : events) {
            boolean hasId = each.id() != ServerSentEventParser.NO_ID;
            if (hasId && lastEventId >= 0 && each.id() <= lastEventId) {
                continue;
            }
            if (hasId && lastEventId >= 0 && each.id() != lastEventId + 1) {
                return "event " + each.id() + " follows event " + lastEventId;
            }
            lastEventId = hasId ? each.id() : lastEventId;
            recordEventTime();
            boolean hasRoom = callerChannel.write(each.bytes());
            if (attempt != source) {
                return null;
            }
            source.onEventForwarded();
            if (!hasRoom) {
                source.pause();
            }
        }
        return null;
    }

    private void recordEventTime() {
        long now = call.context().clock().millis();
        if (lastEventAtMillis == 0) {
            firstEventAtMillis = now;
        } else {
            longestPauseMillis = Math.max(longestPauseMillis, now - lastEventAtMillis);
        }
        lastEventAtMillis = now;
    }

    /** When the first event was forwarded, in milliseconds of the monotonic clock; 0 before. */
    long firstEventAtMillis() {
        return firstEventAtMillis;
    }

    /** Longest time between two events, in milliseconds. */
    long longestPauseMillis() {
        return longestPauseMillis;
    }

    /** Milliseconds since an event was forwarded; negative before the first one. */
    long millisSinceLastEvent() {
        return lastEventAtMillis == 0 ? -1 : call.context().clock().millis() - lastEventAtMillis;
    }

    /** Bytes that the caller's socket has not accepted. */
    int unreadBytes() {
        return callerChannel.pendingBytes();
    }

    void complete() {
        completing = true;
        callerChannel.complete();
    }

    void abort() {
        completing = true;
        callerChannel.abort();
    }

    private void onWritable() {
        if (attempt != null) {
            attempt.resume();
        }
    }

    private void onChannelClosed() {
        if (completing) {
            call.onStreamComplete();
        } else {
            call.onCallerDisconnected();
        }
    }
}
