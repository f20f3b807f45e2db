package org.elmline.standin;

import java.util.function.Predicate;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.xnio.IoUtils;

/** Counts the requests to a stand-in while it is cold; one too many ends it without an answer. */
public final class ColdRequestHandler implements HttpHandler {
    /** Path that answers with a {@link ColdState.Report}. */
    public static final String PATH = "/standin/cold";

    private final ColdState cold;
    private final Predicate<HttpServerExchange> isWork;
    private final Runnable crash;
    private final HttpHandler next;

    /**
     * @param isWork whether a request counts
     * @param crash ends the stand-in at once; must not wait for the threads that handle requests
     */
    public ColdRequestHandler(ColdState cold, Predicate<HttpServerExchange> isWork, Runnable crash, HttpHandler next) {
        this.cold = cold;
        this.isWork = isWork;
        this.crash = crash;
        this.next = next;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) throws Exception {
        if (exchange.getRequestPath().equals(PATH)) {
            StandinHttpResponses.send(exchange, new ColdState.Report(cold.leftMillis()));
        } else if (!isWork.test(exchange) || cold.accept()) {
            next.handleRequest(exchange);
        } else {
            crash.run();
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
