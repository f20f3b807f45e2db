package org.elmline.daemon.gateway;

import java.util.List;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;

/**
 * A stream to one caller, from one server or from several in turn: forwards complete events only, each event id once
 * and in order. Nothing is written before the first event, or before the end of a stream without events: until then the
 * caller can be sent any other answer. Used on the I/O thread only.
 */
final class StreamForwarder {
    private final Call call;
    private final int status;
    private final HeaderMap headers;
    private CallerChannel callerChannel;
    private Attempt source;
    private long lastEventId = ServerSentEventParser.NO_ID;
    private boolean completing;
    private long firstEventAtMillis;
    private long lastEventAtMillis;
    private long longestPauseMillis;

    /** @param headers of the server's answer */
    StreamForwarder(Call call, int status, HeaderMap headers) {
        this.call = call;
        this.status = status;
        this.headers = headers;
        this.lastEventId = call.head().lastEventId();
    }

    /** Whether the answer to the caller has begun, so that no other one can be sent. */
    boolean hasBegun() {
        return callerChannel != null;
    }

    private CallerChannel callerChannel() {
        if (callerChannel == null) {
            setHead();
            callerChannel = new CallerChannel(call.exchange(), call.memory(), this::onWritable, this::onChannelClosed);
        }
        return callerChannel;
    }

    private void setHead() {
        call.exchange().setStatusCode(status);
        HeaderMap responseHeaders = call.exchange().getResponseHeaders();
        call.context().protocol().copyAnswerHeaders(headers, responseHeaders);
        responseHeaders.remove(Headers.CONTENT_LENGTH);
        // Set explicitly: on a connection that closes after the answer the HTTP server would leave out chunked
        // encoding, and a stream that is broken off would look complete.
        responseHeaders.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
    }

    /** Id of the last event that was forwarded; negative without one. */
    long lastEventId() {
        return lastEventId;
    }

    /** The attempt that sent the last event; null before the first one. */
    Attempt source() {
        return source;
    }

    /**
     * Forwards events of an attempt, all others of which end with the first one that is new to the caller. Returns what
     * is wrong with the events, null when they are valid.
     */
    String forward(Attempt sender, List<ServerSentEventParser.Event> events) {
        for (ServerSentEventParser.Event each : events) {
            boolean hasId = each.id() != ServerSentEventParser.NO_ID;
            if (hasId && lastEventId >= 0 && each.id() <= lastEventId) {
                continue;
            }
            if (hasId && lastEventId >= 0 && each.id() != lastEventId + 1) {
                return "event " + each.id() + " follows event " + lastEventId;
            }
            lastEventId = hasId ? each.id() : lastEventId;
            source = sender;
            call.onAnswering(sender);
            recordEventTime();
            boolean hasRoom = callerChannel().write(each.bytes());
            if (sender.end() != null) {
                return null;
            }
            sender.onEventForwarded();
            if (!hasRoom) {
                sender.pause();
            }
        }
        return null;
    }

    /** Forwards what a server has sent after its last event. */
    void forwardRest(byte[] bytes) {
        if (bytes.length > 0) {
            callerChannel().write(bytes);
        }
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
        return hasBegun() ? callerChannel.pendingBytes() : 0;
    }

    void complete() {
        completing = true;
        callerChannel().complete();
    }

    /** Whether the whole stream is here, and only its rest is to be written. */
    boolean isCompleting() {
        return completing;
    }

    /** Closes the connection to a caller that has part of the stream. */
    void abort() {
        completing = true;
        callerChannel.abort();
    }

    private void onWritable() {
        if (source != null) {
            source.resume();
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
