package org.elmline.core.engine;

import java.util.List;

import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.ModelName;

/** The whole state wanted of an engine: repeating it changes nothing more. */
public record EngineOrder(FencingNumber fencing, ModelName model, String version, List<String> adapters, String role) {
    public EngineOrder {
        adapters = List.copyOf(adapters);
    }
}
