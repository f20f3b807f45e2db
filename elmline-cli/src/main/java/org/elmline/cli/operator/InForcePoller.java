package org.elmline.cli.operator;

import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import org.elmline.core.common.TicketNumber;

/** Polls a ticket until it is in force on all hosts. */
final class InForcePoller {
    private static final long POLL_INTERVAL_MILLIS = 200;

    private final OperatorClient client;
    private final Duration timeout;

    InForcePoller(OperatorClient client, Duration timeout) {
        this.client = client;
        this.timeout = timeout;
    }

    /** Returns the ticket once it is in force or refused; unreachable when the timeout passes first. */
    OperatorAnswer await(TicketNumber number) throws InterruptedException {
        long end = System.nanoTime() + timeout.toNanos();
        OperatorAnswer last;
        do {
            last = client.get(TicketPaths.of(number));
            if (last instanceof OperatorAnswer.Refused || isInForce(last)) {
                return last;
            }
            Thread.sleep(POLL_INTERVAL_MILLIS);
        } while (System.nanoTime() < end);
        String seen = last instanceof OperatorAnswer.Done done ? done.body().toString() : last.toString();
        return new OperatorAnswer.Unreachable("ticket " + number + " was taken but is not in force everywhere within "
                + timeout.toSeconds() + " s: " + seen);
    }

    private static boolean isInForce(OperatorAnswer answer) {
        if (!(answer instanceof OperatorAnswer.Done done)) {
            return false;
        }
        JsonNode status = done.body().has("status") ? done.body().path("status") : done.body();
        return status.path("inForce").asBoolean();
    }
}
