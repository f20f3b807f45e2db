package org.elmline.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.Helper;

/**
 * Memory reserved on helper engines for one long prompt: reserved before the prompt is sent, renewed while it is worked
 * on, released however the attempt ends. Used on the I/O thread only.
 *
 * <p>A request may be lost, or be carried out long after it timed out. So no reservation lasts longer than an engine
 * may hold unused memory: one that is never released expires by itself.
 */
final class HelperReservations {
    /** Duration of one reservation: below the 4 s for which an engine may hold unused memory. */
    private static final long HOLD_MILLIS = 3_400;

    /** Interval of renewals; two in a row may be lost before the reservation expires. */
    private static final long RENEW_INTERVAL_MILLIS = 1_000;

    /** Time-out of a request to an engine; many round trips. */
    private static final long ANSWER_TIMEOUT_MILLIS = 250;

    /** Attempts in all to send a release that is not acknowledged. */
    private static final int MAX_RELEASE_ATTEMPTS = 3;

    private static final int OK = 200;

    private final GatewayContext context;
    private final DispatchAnswer.Granted granted;
    private final List<Helper> helpers = new ArrayList<>();
    private int pendingAnswers;
    private boolean failed;
    private boolean released;

    HelperReservations(GatewayContext context, DispatchAnswer.Granted granted) {
        this.context = context;
        this.granted = granted;
        for (Helper each : granted.helpers()) {
            if (each.memoryTokens() > 0) {
                helpers.add(each);
            }
        }
    }

    /**
     * Reserves the memory on all helpers and reports whether all of them granted it; at once when there is nothing to
     * reserve, and never when {@link #release} is called before the last answer.
     */
    void reserve(Consumer<Boolean> onResult) {
        if (helpers.isEmpty()) {
            onResult.accept(true);
            return;
        }
        pendingAnswers = helpers.size();
        for (Helper each : helpers) {
            sendRequest(each, reserveBody(each), accepted -> {
                failed |= !accepted;
                pendingAnswers--;
                if (pendingAnswers == 0 && !released) {
                    onReserved(onResult);
                }
            });
        }
    }

    private void onReserved(Consumer<Boolean> onResult) {
        context.log()
                .line("memory reservation completed")
                .with("attempt", granted.attempt())
                .with("holders", helpers.size())
                .with("given", !failed)
                .write();
        if (failed) {
            release();
        } else {
            scheduleRenewal();
        }
        onResult.accept(!failed);
    }

    private void scheduleRenewal() {
        context.thread().executeAfter(this::renew, RENEW_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void renew() {
        if (released) {
            return;
        }
        helpers.forEach(each -> sendRequest(each, reserveBody(each), accepted -> {}));
        scheduleRenewal();
    }

    /** Releases all reservations; further calls do nothing. */
    void release() {
        if (released) {
            return;
        }
        released = true;
        helpers.forEach(each -> release(each, MAX_RELEASE_ATTEMPTS));
    }

    private void release(Helper helper, int attemptsLeft) {
        sendRequest(helper, context.protocol().releaseBody(granted.attempt()), accepted -> {
            if (!accepted && attemptsLeft > 1) {
                release(helper, attemptsLeft - 1);
            }
        });
    }

    private byte[] reserveBody(Helper helper) {
        return context.protocol().reserveBody(granted.attempt(), helper.memoryTokens(), HOLD_MILLIS);
    }

    private void sendRequest(Helper helper, byte[] body, Consumer<Boolean> callback) {
        HeaderMap headers = context.protocol().reservationHeaders(helper);
        headers.put(Headers.CONTENT_LENGTH, body.length);
        ReservationRequest request = new ReservationRequest(callback);
        request.call = new BackendCall(
                context.connections(),
                helper.address(),
                BackendCall.newRequest(Methods.POST, context.protocol().reservationPath(), headers),
                body,
                false,
                context.protocol(),
                request);
        context.thread().executeAfter(request::expire, ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        request.call.start();
    }

    /** One request to an engine; ends once. */
    private static final class ReservationRequest implements BackendCallListener {
        private final Consumer<Boolean> callback;
        private BackendCall call;
        private int status;
        private boolean ended;

        ReservationRequest(Consumer<Boolean> callback) {
            this.callback = callback;
        }

        private void finish(boolean accepted) {
            if (!ended) {
                ended = true;
                callback.accept(accepted);
            }
        }

        private void expire() {
            if (!ended) {
                call.cancel();
                finish(false);
            }
        }

        @Override
        public void onNotSent(String why) {
            finish(false);
        }

        @Override
        public void onHead(int answerStatus, HeaderMap headers, AnswerHead answerHead) {
            status = answerStatus;
        }

        @Override
        public void onData(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void onComplete() {
            finish(status == OK);
        }

        @Override
        public void onBroken(String why) {
            finish(false);
        }
    }
}
