package org.elmline.daemon.operator;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import org.elmline.core.common.ServiceName;
import org.elmline.core.quarantine.PartGroup;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.QuarantineRecord;
import org.elmline.daemon.http.JsonResponses;

/**
 * Operators' access to the quarantine: {@code GET /quarantine} lists the records, {@code PUT} and {@code DELETE} of
 * {@code /quarantine/SERVICE/PART+PART} quarantine and release a group. All other requests go to the next handler.
 */
public final class QuarantineHandler implements HttpHandler {
    private static final String PATH = "/quarantine";

    private static final int OK = 200;
    private static final int INVALID = 400;
    private static final int NOT_FOUND = 404;
    private static final int NOT_ALLOWED = 405;
    private static final String PART_SEPARATOR = "\\+";

    private final QuarantineControl quarantine;
    private final HttpHandler next;

    public QuarantineHandler(QuarantineControl quarantine, HttpHandler next) {
        this.quarantine = quarantine;
        this.next = next;
    }

    /** Body of the list. */
    private record Listing(List<QuarantineRecord> records) {}

    /** Body of the answer to a decision. */
    private record Outcome(String outcome) {}

    private record Target(ServiceName service, PartGroup group) {}

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        String path = exchange.getRequestURI();
        if (!path.equals(PATH) && !path.startsWith(PATH + "/")) {
            next.handleRequest(exchange);
            return;
        }
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> handle(exchange, path));
    }

    private void handle(HttpServerExchange exchange, String path) {
        if (path.equals(PATH) && exchange.getRequestMethod().equals(Methods.GET)) {
            JsonResponses.send(exchange, new Listing(quarantine.records()));
            return;
        }
        Target target;
        try {
            target = target(path);
        } catch (IllegalArgumentException e) {
            answer(exchange, INVALID, e.getMessage());
            return;
        }
        if (exchange.getRequestMethod().equals(Methods.PUT)) {
            quarantine.quarantine(target.service(), target.group());
            answer(exchange, OK, "quarantined");
        } else if (exchange.getRequestMethod().equals(Methods.DELETE)) {
            boolean released = quarantine.release(target.service(), target.group());
            answer(exchange, released ? OK : NOT_FOUND, released ? "released" : "not quarantined");
        } else {
            answer(exchange, NOT_ALLOWED, "only GET, PUT and DELETE");
        }
    }

    private static Target target(String path) {
        String[] names = path.substring(PATH.length()).split("/");
        if (names.length != 3) {
            throw new IllegalArgumentException("the path must be " + PATH + "/SERVICE/PART+PART");
        }
        List<PromptPart> parts = new ArrayList<>();
        Arrays.stream(names[2].split(PART_SEPARATOR)).map(PromptPart::of).forEach(parts::add);
        return new Target(ServiceName.of(names[1]), new PartGroup(parts));
    }

    private static void answer(HttpServerExchange exchange, int status, String outcome) {
        JsonResponses.send(exchange, status, new Outcome(outcome));
    }
}
