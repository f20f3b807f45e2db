package org.elmline.daemon.engine;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicBoolean;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.Response;
import okio.BufferedSource;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.Ran;
import org.elmline.core.engine.StreamEvent;
import org.elmline.core.engine.StreamListener;
import org.elmline.wire.engine.EngineJson;

/**
 * Reads one stream's lines and passes their events to the listener, ending with exactly one End or Failed unless {@link
 * #close} is called first. A broken connection is reported as Failed.
 */
final class StreamCall implements Callback, AutoCloseable {
    private static final int OK = 200;
    /** A longer line is rejected as invalid: it would fill memory. */
    private static final long MAX_LINE_BYTES = 1 << 20;

    private final AttemptId attempt;
    private final boolean resumed;
    private final SendTracker sendTracker;
    private final StreamListener listener;
    private final Call call;
    private final AtomicBoolean closed = new AtomicBoolean();

    StreamCall(AttemptId attempt, boolean resumed, SendTracker sendTracker, StreamListener listener, Call call) {
        this.attempt = attempt;
        this.resumed = resumed;
        this.sendTracker = sendTracker;
        this.listener = listener;
        this.call = call;
    }

    StreamCall start() {
        call.enqueue(this);
        return this;
    }

    @Override
    public void close() {
        closed.set(true);
        call.cancel();
    }

    @Override
    public void onFailure(Call failed, IOException e) {
        fail(resumed ? Ran.UNKNOWN : sendTracker.ran(), String.valueOf(e.getMessage()));
    }

    @Override
    public void onResponse(Call answered, Response response) {
        try (response) {
            if (response.code() != OK) {
                fail(ranOfStatus(response.code()), "engine answered " + response.code());
                return;
            }
            read(response.body().source());
        } catch (IOException e) {
            fail(Ran.UNKNOWN, String.valueOf(e.getMessage()));
        }
    }

    /**
     * A resumed attempt has run already. Status 410 means the same for a repeated start. 5xx other than 503 does not
     * show whether the attempt ran.
     */
    private Ran ranOfStatus(int status) {
        boolean refused = status >= 400 && status < 500 && status != 410 || status == 503;
        return refused && !resumed ? Ran.NO : Ran.UNKNOWN;
    }

    private void read(BufferedSource source) throws IOException {
        while (!closed.get()) {
            if (source.exhausted()) {
                fail(Ran.UNKNOWN, "stream ended early");
                return;
            }
            String line = source.readUtf8LineStrict(MAX_LINE_BYTES);
            if (line.isEmpty()) {
                continue;
            }
            StreamEvent event = EngineJson.readEvent(line);
            notifyListener(event);
            boolean own = attempt.equals(event.attempt());
            if (own && (event instanceof StreamEvent.End || event instanceof StreamEvent.Failed)) {
                closed.set(true);
            }
        }
    }

    private void fail(Ran ran, String why) {
        notifyListener(new StreamEvent.Failed(attempt, ran, why));
        closed.set(true);
    }

    private void notifyListener(StreamEvent event) {
        if (!closed.get()) {
            listener.onEvent(event);
        }
    }
}
