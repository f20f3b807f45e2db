package org.elmline.daemon.engine;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;
import org.elmline.core.common.Ran;

/**
 * Records whether any byte of one call may have been sent, which decides between {@link Ran#NO} and {@link
 * Ran#UNKNOWN}. Thread-safe.
 */
public final class SendTracker extends EventListener {
    private volatile boolean headersStarted;

    /** The tracker attached to the call's request as a tag; {@link EventListener#NONE} when there is none. */
    public static EventListener of(Request request) {
        SendTracker tracker = request.tag(SendTracker.class);
        return tracker == null ? EventListener.NONE : tracker;
    }

    @Override
    public void requestHeadersStart(Call call) {
        headersStarted = true;
    }

    public Ran ran() {
        return headersStarted ? Ran.UNKNOWN : Ran.NO;
    }
}
