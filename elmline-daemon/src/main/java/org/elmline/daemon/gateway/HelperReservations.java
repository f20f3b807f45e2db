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
import org.elmline.daemon.http.ByteChunks;

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

    /**
     * Longest reservation, made on an engine that requested a backoff: below the 9 s for which an engine may hold
     * memory that nobody uses.
     */
    private static final long MAX_HOLD_MILLIS = 8_000;

    /** Remaining time of a reservation below which it is renewed even on an engine that requested a backoff. */
    private static final long RENEWAL_MARGIN_MILLIS = 1_400;

    /** Time-out of a request to an engine; many round trips. */
    private static final long ANSWER_TIMEOUT_MILLIS = 250;

    /** Attempts in all to send a release that is not acknowledged. */
    private static final int MAX_RELEASE_ATTEMPTS = 3;

    private static final int OK = 200;

    private final GatewayContext context;
    private final DispatchAnswer.Granted granted;
    private final List<Reservation> reservations = new ArrayList<>();
    private int pendingAnswers;
    private boolean failed;
    private boolean released;

    HelperReservations(GatewayContext context, DispatchAnswer.Granted granted) {
        this.context = context;
        this.granted = granted;
        for (Helper each : granted.helpers()) {
            if (each.memoryTokens() > 0) {
                reservations.add(new Reservation(each));
            }
        }
    }

    /**
     * Reserves the memory on all helpers and reports whether all of them granted it; at once when there is nothing to
     * reserve, and never when {@link #release} is called before the last answer.
     */
    void reserve(Consumer<Boolean> onResult) {
        if (reservations.isEmpty()) {
            onResult.accept(true);
            return;
        }
        pendingAnswers = reservations.size();
        for (Reservation each : reservations) {
            each.reserve(RequestPurpose.NEW_WORK, HOLD_MILLIS, accepted -> {
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
                .with("holders", reservations.size())
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
        reservations.forEach(Reservation::renew);
        scheduleRenewal();
    }

    /** Releases all reservations; further calls do nothing. */
    void release() {
        if (released) {
            return;
        }
        released = true;
        reservations.stream().filter(Reservation::mayHaveBegun).forEach(each -> each.release(MAX_RELEASE_ATTEMPTS));
    }

    /** The memory on one helper. */
    private final class Reservation {
        private final Helper helper;
        private ReservationRequest first;
        private long endsAtNanos;

        Reservation(Helper helper) {
            this.helper = helper;
        }

        void reserve(RequestPurpose purpose, long holdMillis, Consumer<Boolean> callback) {
            long requestedEndNanos = context.clock().nanos() + TimeUnit.MILLISECONDS.toNanos(holdMillis);
            byte[] body = context.protocol().reserveBody(granted.attempt(), helper.memoryTokens(), holdMillis);
            ReservationRequest request = sendRequest(helper, purpose, body, accepted -> {
                endsAtNanos = accepted ? requestedEndNanos : endsAtNanos;
                callback.accept(accepted);
            });
            first = first == null ? request : first;
        }

        /** Renews the reservation; during a backoff as rarely as possible, and for the rest of it. */
        void renew() {
            long backoffMillis = context.backends().gate().backoffMillis(helper.server());
            long leftMillis =
                    TimeUnit.NANOSECONDS.toMillis(endsAtNanos - context.clock().nanos());
            if (backoffMillis > 0 && leftMillis > RENEWAL_MARGIN_MILLIS) {
                return;
            }
            long holdMillis = Math.min(backoffMillis + HOLD_MILLIS, MAX_HOLD_MILLIS);
            reserve(RequestPurpose.RUNNING_WORK, holdMillis, accepted -> {});
        }

        /** Whether the engine may have received the reservation; if not, it gets no release either. */
        boolean mayHaveBegun() {
            return first != null && first.mayHaveBeenSent();
        }

        void release(int attemptsLeft) {
            byte[] body = context.protocol().releaseBody(granted.attempt());
            sendRequest(helper, RequestPurpose.RUNNING_WORK, body, accepted -> {
                if (!accepted && attemptsLeft > 1) {
                    release(attemptsLeft - 1);
                }
            });
        }
    }

    private ReservationRequest sendRequest(
            Helper helper, RequestPurpose purpose, byte[] body, Consumer<Boolean> callback) {
        HeaderMap headers = context.protocol().reservationHeaders(helper);
        headers.put(Headers.CONTENT_LENGTH, body.length);
        ReservationRequest request = new ReservationRequest(callback);
        request.call = new BackendCall(
                context.backends(),
                new BackendTarget(helper.server(), helper.address()),
                purpose,
                BackendCall.newRequest(Methods.POST, context.protocol().reservationPath(), headers),
                ByteChunks.of(body),
                false,
                request);
        context.thread().executeAfter(request::expire, ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        request.call.start();
        return request;
    }

    /** One request to an engine; ends once. */
    private static final class ReservationRequest implements BackendCallListener {
        private final Consumer<Boolean> callback;
        private BackendCall call;
        private int status;
        private boolean ended;
        private boolean neverSent;

        ReservationRequest(Consumer<Boolean> callback) {
            this.callback = callback;
        }

        private void finish(boolean accepted) {
            if (!ended) {
                ended = true;
                callback.accept(accepted);
            }
        }

        /** False while the request is held, and once it is certain that it was not sent. */
        boolean mayHaveBeenSent() {
            return !neverSent && !call.isHeld();
        }

        private void expire() {
            if (!ended) {
                neverSent |= call.isHeld();
                call.cancel();
                finish(false);
            }
        }

        @Override
        public void onNotSent(String why) {
            neverSent = true;
            finish(false);
        }

        @Override
        public void onWithheld(String why) {
            neverSent = true;
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
