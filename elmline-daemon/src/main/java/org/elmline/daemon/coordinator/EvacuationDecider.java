package org.elmline.daemon.coordinator;

import java.util.concurrent.CompletableFuture;

import org.elmline.core.evacuation.EvacuationChannels.EvacuationOrder;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationOutcome;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationReading;

/** Decides on evacuations where this host leads. Every future completes normally. */
interface EvacuationDecider {
    /** Reads the latest evacuations; {@link EvacuationReading#UNKNOWN} where this host does not lead. */
    CompletableFuture<EvacuationReading> read();

    /** Changes a failure domain; {@link EvacuationOutcome#NOT_LEADER} where this host does not lead. */
    CompletableFuture<EvacuationOutcome> set(EvacuationOrder order);
}
