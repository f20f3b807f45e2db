package org.elmline.core.control;

import java.util.List;

/** The engines that one entry owns. */
public record ObserveAnswer(List<EngineObservation> engines) {
    public ObserveAnswer {
        engines = List.copyOf(engines);
    }
}
