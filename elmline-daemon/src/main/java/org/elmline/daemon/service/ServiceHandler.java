package org.elmline.daemon.service;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import io.undertow.util.HttpString;
import org.elmline.core.common.Ran;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.ServiceName;
import org.elmline.core.config.Service;
import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.ClaimKey;
import org.elmline.core.control.ClaimOwner;
import org.elmline.core.control.ClaimReply;
import org.elmline.core.control.ClaimSession;
import org.elmline.core.control.IdempotencyKey;
import org.elmline.core.control.RecordedAnswer;
import org.elmline.core.timeline.EventRing;
import org.elmline.core.timeline.RequestEvent;
import org.elmline.daemon.caller.AdmissionController;
import org.elmline.daemon.caller.AdmittedCall;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.LeasedView;
import org.elmline.daemon.http.JsonResponses;
import org.elmline.daemon.http.WorkerBodyReader;

/**
 * {@code * /v1/services/{service}/{path}}: forwards a call to a plain service. A call is repeatable when the service's
 * ticket lists its method or the caller sends {@code Elmline-Idempotent: true}; every other one runs at most once and
 * needs an {@code Idempotency-Key}.
 */
public final class ServiceHandler implements HttpHandler {
    private static final String PREFIX = "/v1/services/";
    private static final String KEY_HEADER = "Idempotency-Key";
    private static final String IDEMPOTENT_HEADER = "Elmline-Idempotent";
    private static final HttpString REPLAYED_HEADER = new HttpString("Elmline-Replayed");
    private static final int MAX_FINISH_ATTEMPTS = 3;
    private static final Set<String> EXCLUDED_REQUEST_HEADERS = ServiceClient.hopByHopHeaders();

    private final HostIdentity self;
    private final AdmissionController admission;
    private final LeasedView leasedView;
    private final WorkerBodyReader bodyReader;
    private final ServiceGateway gateway;
    private final EventRing events;
    private final AtomicLong lastSession = new AtomicLong();

    public ServiceHandler(
            HostIdentity self,
            AdmissionController admission,
            LeasedView leasedView,
            WorkerBodyReader bodyReader,
            ServiceGateway gateway,
            EventRing events) {
        this.self = self;
        this.admission = admission;
        this.leasedView = leasedView;
        this.bodyReader = bodyReader;
        this.gateway = gateway;
        this.events = events;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        AdmissionController.Admission decision = admission.admit(exchange);
        if (decision instanceof AdmissionController.Admission.Refused refused) {
            JsonResponses.sendRefusal(exchange, withUnknownRan(exchange, refused.refusal()));
            return;
        }
        AdmittedCall call = ((AdmissionController.Admission.Admitted) decision).call();
        admission.releaseOnCompletion(exchange);
        bodyReader.read(exchange, body -> serve(exchange, call, body));
    }

    /**
     * A call with a key may have run in an earlier attempt that this entry has no record of. If the refusal stated that
     * it did not run, the caller could repeat it under a new key and, for example, pay twice. So a refusal that a retry
     * may change reports {@link Ran#UNKNOWN}.
     */
    private static Refusal withUnknownRan(HttpServerExchange exchange, Refusal refusal) {
        boolean keyed = exchange.getRequestHeaders().contains(KEY_HEADER);
        if (!keyed || !refusal.reason().retryable()) {
            return refusal;
        }
        return new Refusal(refusal.reason(), refusal.message(), Ran.UNKNOWN, refusal.retryAfterMillis());
    }

    private void serve(HttpServerExchange exchange, AdmittedCall admitted, byte[] body) {
        String rest = exchange.getRequestPath().substring(PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        Optional<Service> service = findService(name);
        if (service.isEmpty()) {
            refuse(exchange, RefusalReason.UNKNOWN_SERVICE, "no service is named " + name);
            return;
        }
        String path = slash < 0 ? "" : rest.substring(slash + 1);
        String query = exchange.getQueryString();
        ServiceCall call = new ServiceCall(
                exchange.getRequestMethod().toString(),
                query.isEmpty() ? path : path + "?" + query,
                forwardedHeaders(exchange.getRequestHeaders()),
                body);
        events.record(new RequestEvent.Received(
                admitted.id(),
                admitted.organisation().id(),
                name,
                0,
                service.get().timeoutMillis()));
        if (isRepeatable(exchange, service.get())) {
            reply(exchange, admitted, gateway.callRepeatable(service.get(), call, admitted.deadlineNanos()));
            return;
        }
        serveOnce(exchange, admitted, service.get(), call);
    }

    private void serveOnce(HttpServerExchange exchange, AdmittedCall admitted, Service service, ServiceCall call) {
        String text = exchange.getRequestHeaders().getFirst(KEY_HEADER);
        Optional<IdempotencyKey> key = IdempotencyKey.parse(text);
        if (key.isEmpty() || !key.get().belongsTo(admitted.organisation().id())) {
            String why = text == null
                    ? "a call that may not be repeated needs an " + KEY_HEADER + "; POST /v1/idempotency-keys gives one"
                    : "this " + KEY_HEADER + " was not issued to this organisation by POST /v1/idempotency-keys";
            refuse(exchange, RefusalReason.BAD_REQUEST, why);
            return;
        }
        ClaimOwner owner = new ClaimOwner(self.host(), self.incarnation(), lastSession.incrementAndGet());
        ClaimKey claim = new ClaimKey(admitted.organisation().id(), key.get());
        ClaimSession session = new ClaimSession(
                new ClaimBegin(claim, digest(service, call), owner),
                leasedView.lease(),
                admitted.deadlineNanos(),
                MAX_FINISH_ATTEMPTS);
        events.record(new RequestEvent.ClaimBegun(admitted.id()));
        gateway.callOnce(service, call, session, admitted.deadlineNanos(), reply -> reply(exchange, admitted, reply));
    }

    private Optional<Service> findService(String name) {
        try {
            return leasedView.configuration().service(ServiceName.of(name));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    private static boolean isRepeatable(HttpServerExchange exchange, Service service) {
        String header = exchange.getRequestHeaders().getFirst(IDEMPOTENT_HEADER);
        if (header != null) {
            return header.trim().equalsIgnoreCase("true");
        }
        return service.idempotentMethods().contains(exchange.getRequestMethod().toString());
    }

    private static List<RecordedAnswer.Header> forwardedHeaders(HeaderMap requestHeaders) {
        List<RecordedAnswer.Header> headers = new ArrayList<>();
        for (HeaderValues values : requestHeaders) {
            String name = values.getHeaderName().toString();
            if (!EXCLUDED_REQUEST_HEADERS.contains(name)
                    && !name.regionMatches(true, 0, "Elmline-", 0, "Elmline-".length())) {
                values.forEach(value -> headers.add(new RecordedAnswer.Header(name, value)));
            }
        }
        return headers;
    }

    private void reply(HttpServerExchange exchange, AdmittedCall admitted, ClaimReply reply) {
        if (reply instanceof ClaimReply.Refused refused) {
            events.record(new RequestEvent.Refused(
                    admitted.id(), refused.refusal().reason(), refused.refusal().ran()));
            JsonResponses.sendRefusal(exchange, refused.refusal());
            return;
        }
        events.record(new RequestEvent.Finished(admitted.id(), 0));
        ClaimReply.Answered answered = (ClaimReply.Answered) reply;
        RecordedAnswer answer = answered.answer();
        exchange.setStatusCode(answer.status());
        for (RecordedAnswer.Header each : answer.headers()) {
            exchange.getResponseHeaders().add(new HttpString(each.name()), each.value());
        }
        if (answered.repeated()) {
            exchange.getResponseHeaders().put(REPLAYED_HEADER, answer.body() == null ? "body-too-long" : "true");
        }
        exchange.getResponseSender()
                .send(answer.body() == null ? ByteBuffer.allocate(0) : ByteBuffer.wrap(answer.body()));
    }

    private static void refuse(HttpServerExchange exchange, RefusalReason reason, String why) {
        JsonResponses.sendRefusal(exchange, Refusal.didNotRun(reason, why));
    }

    private static String digest(Service service, ServiceCall call) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String head = call.method() + " " + service.name() + "/" + call.target() + "\n";
            digest.update(head.getBytes(StandardCharsets.UTF_8));
            return HexFormat.of().formatHex(digest.digest(call.body()));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("this Java platform lacks SHA-256", e);
        }
    }
}
