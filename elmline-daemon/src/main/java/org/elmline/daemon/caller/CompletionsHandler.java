package org.elmline.daemon.caller;

import java.util.Optional;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.config.Model;
import org.elmline.core.config.Organisation;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.daemon.entry.SharedView;
import org.elmline.daemon.http.Answers;
import org.elmline.daemon.http.BodyReader;
import org.elmline.daemon.openai.ApiKind;
import org.elmline.daemon.openai.CompletionReader;
import org.elmline.daemon.openai.CompletionRequest;
import org.elmline.daemon.openai.CompletionWriter;

/** {@code POST /v1/completions} and {@code POST /v1/chat/completions}. */
public final class CompletionsHandler implements HttpHandler {
    private static final int DEFAULT_OUTPUT_TOKENS = 256;

    private final ApiKind api;
    private final Gate gate;
    private final SharedView view;
    private final BodyReader bodies;
    private final Gateway gateway;
    private final LimitService limits;

    public CompletionsHandler(
            ApiKind api, Gate gate, SharedView view, BodyReader bodies, Gateway gateway, LimitService limits) {
        this.api = api;
        this.gate = gate;
        this.view = view;
        this.bodies = bodies;
        this.gateway = gateway;
        this.limits = limits;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        Gate.Passage passage = gate.enter(exchange);
        if (passage instanceof Gate.Passage.Closed closed) {
            Answers.refuse(exchange, closed.refusal());
            return;
        }
        Admitted call = ((Gate.Passage.Open) passage).call();
        gate.leaveWith(exchange);
        bodies.read(exchange, body -> serve(exchange, call, body));
    }

    private void serve(HttpServerExchange exchange, Admitted call, byte[] body) {
        CompletionReader.Result read = CompletionReader.read(api, body);
        if (read instanceof CompletionReader.Result.Invalid invalid) {
            Answers.refuse(exchange, Refusal.didNotRun(RefusalReason.BAD_REQUEST, invalid.why()));
            return;
        }
        CompletionRequest request = ((CompletionReader.Result.Valid) read).request();
        Optional<Model> model = view.configuration().model(request.model());
        if (model.isEmpty()) {
            Answers.refuse(
                    exchange, Refusal.didNotRun(RefusalReason.UNKNOWN_MODEL, "no model is named " + request.model()));
            return;
        }
        int promptTokens = PromptBlocks.tokenCount(request.prompt());
        Optional<Refusal> unfit = unfit(request, model.get(), promptTokens);
        if (unfit.isPresent()) {
            Answers.refuse(exchange, unfit.get());
            return;
        }
        int maxOutput = request.maxOutputTokens() == 0
                ? Math.min(DEFAULT_OUTPUT_TOKENS, model.get().maxOutputTokens())
                : request.maxOutputTokens();
        CompletionWriter writer =
                new CompletionWriter(request, call.id(), System.currentTimeMillis() / 1000, promptTokens);
        AnswerSink sink =
                request.stream() ? new StreamSink(exchange, writer) : new WholeSink(exchange, writer, gateway.clock());
        serve(new Work(call, request, promptTokens, maxOutput), sink, exchange);
    }

    private void serve(Work work, AnswerSink sink, HttpServerExchange exchange) {
        Organisation organisation = work.call().organisation();
        Optional<Refusal> over = limits.admit(organisation, (long) work.promptTokens() + work.maxOutputTokens());
        if (over.isPresent()) {
            Answers.refuse(exchange, over.get());
            return;
        }
        try {
            gateway.serve(work, sink);
        } finally {
            limits.finished(organisation.id());
        }
    }

    private static Optional<Refusal> unfit(CompletionRequest request, Model model, int promptTokens) {
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
