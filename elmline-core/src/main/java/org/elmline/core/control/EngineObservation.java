package org.elmline.core.control;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.engine.EngineState;

/**
 * One engine as its owner reports it to the control leader.
 *
 * @param protocol name of the engine plug-in that communicates with it
 * @param checksFencing whether the engine declares that it rejects outdated fencing numbers
 * @param state read from the engine for this report; null when it did not answer
 */
public record EngineObservation(
        BackendServerId id,
        String protocol,
        Address address,
        boolean checksFencing,
        boolean leaving,
        EngineState state) {}
