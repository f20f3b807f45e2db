package org.elmline.core.engine;

import java.util.List;

import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.ModelName;

/** The complete desired state of an engine. Idempotent. */
public record EngineOrder(FencingNumber fencing, ModelName model, String version, List<String> adapters, String role) {
    public EngineOrder {
        adapters = List.copyOf(adapters);
    }
}
