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
final class Reservations {
    /** How long one order holds the memory: below the four seconds for which memory may lie idle. */
    private static final long HOLD_MILLIS = 3_400;

    /** Pause between two renewals; two may get lost in a row before the memory is gone. */
    private static final long RENEW_MILLIS = 1_000;

    /** Time for an engine to answer an order; many round trips. */
    private static final long ANSWER_MILLIS = 250;

    /** A release that got no answer is sent again this often in all. */
    private static final int RELEASES = 3;

    private static final int OK = 200;

    private final GatewayParts parts;
    private final DispatchAnswer.Granted granted;
    private final List<Helper> holders = new ArrayList<>();
    private int outstanding;
    private boolean failed;
    private boolean released;

    Reservations(GatewayParts parts, DispatchAnswer.Granted granted) {
        this.parts = parts;
        this.granted = granted;
        for (Helper each : granted.helpers()) {
            if (each.memoryTokens() > 0) {
                holders.add(each);
            }
        }
    }

    /** Reserves all; tells whether all was given. Tells at once when there is nothing to reserve. */
    void begin(Consumer<Boolean> ready) {
        if (holders.isEmpty()) {
            ready.accept(true);
            return;
        }
        outstanding = holders.size();
        for (Helper each : holders) {
            order(each, reserveBody(each), given -> {
                failed |= !given;
                outstanding--;
                if (outstanding == 0 && !released) {
                    begun(ready);
                }
            });
        }
    }

    private void begun(Consumer<Boolean> ready) {
        parts.log()
                .line("memory reserved")
                .with("attempt", granted.attempt())
                .with("holders", holders.size())
                .with("given", !failed)
                .write();
        if (failed) {
            release();
        } else {
            renewLater();
        }
        ready.accept(!failed);
    }

    private void renewLater() {
        parts.thread().executeAfter(this::renew, RENEW_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void renew() {
        if (released) {
            return;
        }
        holders.forEach(each -> order(each, reserveBody(each), given -> {}));
        renewLater();
    }

    /** Gives all back; does nothing the second time. */
    void release() {
        if (released) {
            return;
        }
        released = true;
        holders.forEach(each -> release(each, RELEASES));
    }

    private void release(Helper holder, int times) {
        order(holder, parts.protocol().releaseOrder(granted.attempt()), given -> {
            if (!given && times > 1) {
                release(holder, times - 1);
            }
        });
    }

    private byte[] reserveBody(Helper holder) {
        return parts.protocol().reserveOrder(granted.attempt(), holder.memoryTokens(), HOLD_MILLIS);
    }

    private void order(Helper holder, byte[] body, Consumer<Boolean> done) {
        HeaderMap headers = parts.protocol().orderHeaders(holder);
        headers.put(Headers.CONTENT_LENGTH, body.length);
        Order order = new Order(done);
        order.call = new BackendCall(
                parts.connections(),
                holder.address(),
                BackendCall.request(Methods.POST, parts.protocol().orderPath(), headers),
                body,
                false,
                parts.protocol(),
                order);
        parts.thread().executeAfter(order::expire, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        order.call.start();
    }

    /** One order on its way; ends once. */
    private static final class Order implements BackendListener {
        private final Consumer<Boolean> done;
        private BackendCall call;
        private int status;
        private boolean over;

        Order(Consumer<Boolean> done) {
            this.done = done;
        }

        private void end(boolean given) {
            if (!over) {
                over = true;
                done.accept(given);
            }
        }

        private void expire() {
            if (!over) {
                call.cancel();
                end(false);
            }
        }

        @Override
        public void notSent(String why) {
            end(false);
        }

        @Override
        public void head(int answered, HeaderMap headers, AnswerHead read) {
            status = answered;
        }

        @Override
        public void data(ByteBuffer bytes) {
            bytes.position(bytes.limit());
        }

        @Override
        public void complete() {
            end(status == OK);
        }

        @Override
        public void broken(String why) {
            end(false);
        }
    }
}
