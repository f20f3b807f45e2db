package org.elmline.daemon.caller;

import java.util.ArrayList;
import java.util.List;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import org.elmline.core.config.Model;
import org.elmline.daemon.entry.LeasedView;
import org.elmline.daemon.http.JsonResponses;

/**
 * {@code GET /v1/models} in the OpenAI API's format: lists each model, and each of its adapters as {@code
 * model@adapter}.
 */
public final class ModelsHandler implements HttpHandler {
    private final AdmissionController admission;
    private final LeasedView leasedView;

    public ModelsHandler(AdmissionController admission, LeasedView leasedView) {
        this.admission = admission;
        this.leasedView = leasedView;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        AdmissionController.Admission decision = admission.admit(exchange);
        if (decision instanceof AdmissionController.Admission.Refused refused) {
            JsonResponses.sendRefusal(exchange, refused.refusal());
            return;
        }
        admission.release();
        List<Entry> entries = new ArrayList<>();
        for (Model each : leasedView.configuration().models()) {
            entries.add(new Entry(each.name().value(), "model", 0, "elmline"));
            for (String adapter : each.adapters()) {
                entries.add(new Entry(each.name() + "@" + adapter, "model", 0, "elmline"));
            }
        }
        JsonResponses.send(exchange, new Listing("list", entries));
    }

    record Listing(String object, List<Entry> data) {}

    @SuppressWarnings("checkstyle:RecordComponentName")
    record Entry(String id, String object, long created, String owned_by) {}
}
