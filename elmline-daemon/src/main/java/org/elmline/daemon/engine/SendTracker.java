package org.elmline.daemon.engine;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;
import org.elmline.core.common.Ran;

/** Remembers whether any byte of one call may have left this process: what decides between NO and UNKNOWN. */
public final class SendTracker extends EventListener {
    private volatile boolean headersStarted;

    /** The mark that the call's request carries. */
    public static EventListener of(Request request) {
        SendTracker mark = request.tag(SendTracker.class);
        return mark == null ? EventListener.NONE : mark;
    }

    @Override
    public void requestHeadersStart(Call call) {
        headersStarted = true;
    }

    public Ran ran() {
        return headersStarted ? Ran.UNKNOWN : Ran.NO;
    }
}
