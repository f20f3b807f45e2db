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
 * Memory that is set aside on other engines for one long prompt: reserved before the prompt is sent, renewed while it is
 * worked on, released on every way out. Used on the I/O thread only.
 *
 * <p>An order may be lost, or be carried out long after its answer was given up. So a reservation is never made for
 * longer than an engine may hold memory for nobody: what is forgotten anywhere frees itself.
 */
final class HelperReservations {
    /** How long one order holds the memory: below the four seconds for which memory may lie idle. */
    private static final long HOLD_MILLIS = 3_400;

    /** Pause between two renewals; two may get lost in a row before the memory is gone. */
    private static final long RENEW_INTERVAL_MILLIS = 1_000;

    /** Time for an engine to answer an order; many round trips. */
    private static final long ANSWER_TIMEOUT_MILLIS = 250;

    /** A release that got no answer is sent again this often in all. */
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

    /** Reserves all; tells whether all was given. Tells at once when there is nothing to reserve. */
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
                .line("memory reserved")
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

    /** Gives all back; does nothing the second time. */
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

    /** One order on its way; ends once. */
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
