package org.elmline.core.control;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.engine.EngineState;

/**
 * An announced engine and the state last read from it.
 *
 * @param checksFencing whether the engine declares that it rejects outdated fencing numbers
 * @param state null when it was never read
 * @param observedNanos the leader's monotonic clock when it requested {@code state}
 */
public record ObservedEngine(
        BackendServerId id, boolean checksFencing, boolean leaving, EngineState state, long observedNanos) {}
