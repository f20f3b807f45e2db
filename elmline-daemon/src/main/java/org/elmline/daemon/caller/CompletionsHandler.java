package org.elmline.daemon.caller;

import java.util.Optional;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.config.Model;
import org.elmline.core.config.Organisation;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.daemon.entry.LeasedView;
import org.elmline.daemon.http.JsonResponses;
import org.elmline.daemon.http.WorkerBodyReader;
import org.elmline.daemon.openai.ApiKind;
import org.elmline.daemon.openai.CompletionReader;
import org.elmline.daemon.openai.CompletionRequest;
import org.elmline.daemon.openai.CompletionWriter;

/** {@code POST /v1/completions} and {@code POST /v1/chat/completions}. */
public final class CompletionsHandler implements HttpHandler {
    private static final int DEFAULT_OUTPUT_TOKENS = 256;

    private final ApiKind api;
    private final AdmissionController admission;
    private final LeasedView leasedView;
    private final WorkerBodyReader bodyReader;
    private final CompletionGateway gateway;
    private final OrganisationLimitService limits;

    public CompletionsHandler(
            ApiKind api,
            AdmissionController admission,
            LeasedView leasedView,
            WorkerBodyReader bodyReader,
            CompletionGateway gateway,
            OrganisationLimitService limits) {
        this.api = api;
        this.admission = admission;
        this.leasedView = leasedView;
        this.bodyReader = bodyReader;
        this.gateway = gateway;
        this.limits = limits;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        AdmissionController.Admission decision = admission.admit(exchange);
        if (decision instanceof AdmissionController.Admission.Refused refused) {
            JsonResponses.sendRefusal(exchange, refused.refusal());
            return;
        }
        AdmittedCall call = ((AdmissionController.Admission.Admitted) decision).call();
        admission.releaseOnCompletion(exchange);
        bodyReader.read(exchange, body -> serve(exchange, call, body));
    }

    private void serve(HttpServerExchange exchange, AdmittedCall call, byte[] body) {
        CompletionReader.Result read = CompletionReader.read(api, body);
        if (read instanceof CompletionReader.Result.Invalid invalid) {
            JsonResponses.sendRefusal(exchange, Refusal.didNotRun(RefusalReason.BAD_REQUEST, invalid.why()));
            return;
        }
        CompletionRequest request = ((CompletionReader.Result.Valid) read).request();
        Optional<Model> model = leasedView.configuration().model(request.model());
        if (model.isEmpty()) {
            JsonResponses.sendRefusal(
                    exchange, Refusal.didNotRun(RefusalReason.UNKNOWN_MODEL, "no model is named " + request.model()));
            return;
        }
        int promptTokens = PromptBlocks.tokenCount(request.prompt());
        Optional<Refusal> invalidRequest = validate(request, model.get(), promptTokens);
        if (invalidRequest.isPresent()) {
            JsonResponses.sendRefusal(exchange, invalidRequest.get());
            return;
        }
        int maxOutput = request.maxOutputTokens() == 0
                ? Math.min(DEFAULT_OUTPUT_TOKENS, model.get().maxOutputTokens())
                : request.maxOutputTokens();
        CompletionWriter writer =
                new CompletionWriter(request, call.id(), System.currentTimeMillis() / 1000, promptTokens);
        AnswerSink sink = request.stream()
                ? new StreamSink(exchange, writer)
                : new BufferingSink(exchange, writer, gateway.clock());
        serve(new AdmittedCompletion(call, request, promptTokens, maxOutput), sink, exchange);
    }

    private void serve(AdmittedCompletion completion, AnswerSink sink, HttpServerExchange exchange) {
        Organisation organisation = completion.call().organisation();
        Optional<Refusal> limitRefusal =
                limits.admit(organisation, (long) completion.promptTokens() + completion.maxOutputTokens());
        if (limitRefusal.isPresent()) {
            JsonResponses.sendRefusal(exchange, limitRefusal.get());
            return;
        }
        try {
            gateway.serve(completion, sink);
        } finally {
            limits.onFinished(organisation.id());
        }
    }

    private static Optional<Refusal> validate(CompletionRequest request, Model model, int promptTokens) {
        if (!request.adapter().isEmpty() && !model.adapters().contains(request.adapter())) {
            return Optional.of(Refusal.didNotRun(
                    RefusalReason.UNKNOWN_MODEL, "model " + model.name() + " has no adapter " + request.adapter()));
        }
        if (promptTokens > model.maxPromptTokens()) {
            return Optional.of(Refusal.didNotRun(
                    RefusalReason.TOO_LARGE,
                    "the prompt has " + promptTokens + " tokens, the model takes " + model.maxPromptTokens()));
        }
        if (request.maxOutputTokens() > model.maxOutputTokens()) {
            return Optional.of(Refusal.didNotRun(
                    RefusalReason.BAD_REQUEST, "max_tokens is over the model's limit of " + model.maxOutputTokens()));
        }
        return Optional.empty();
    }
}
