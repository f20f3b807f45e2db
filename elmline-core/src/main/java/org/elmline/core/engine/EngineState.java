package org.elmline.core.engine;

import java.util.List;

import org.elmline.core.common.ModelName;

/** What an engine reports that it serves now. {@code ready} is false while weights load. */
public record EngineState(ModelName model, String version, List<String> adapters, String role, boolean ready) {
    public EngineState {
        adapters = List.copyOf(adapters);
    }
}
