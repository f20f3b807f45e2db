package org.elmline.daemon.engine;

import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Request;
import org.elmline.core.common.Ran;

/** Remembers whether any byte of one call may have left this process: what decides between NO and UNKNOWN. */
public final class SendMark extends EventListener {
    private volatile boolean sending;

    /** The mark that the call's request carries. */
    public static EventListener of(Request request) {
        SendMark mark = request.tag(SendMark.class);
        return mark == null ? EventListener.NONE : mark;
    }

    @Override
    public void requestHeadersStart(Call call) {
        sending = true;
    }

    public Ran ran() {
        return sending ? Ran.UNKNOWN : Ran.NO;
    }
}
