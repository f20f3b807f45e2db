package org.elmline.daemon.gateway;

import java.time.Duration;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.evacuation.EvacuationChannels;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationQuery;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationReading;
import org.elmline.core.peer.PeerNetwork;

/**
 * Fetches the evacuations from all followed control hosts at once, without the hold of a poll. Used on the I/O thread
 * only.
 */
final class EvacuationRefresh {
    private static final Duration FETCH_TIMEOUT = Duration.ofMillis(500);

    private final PeerNetwork network;
    private final DeploymentFollower deployment;

    EvacuationRefresh(PeerNetwork network, DeploymentFollower deployment) {
        this.network = network;
        this.deployment = deployment;
    }

    /** @param onConfirmed called for each answer that a leader confirms, after its evacuations are in force */
    void start(Runnable onConfirmed) {
        for (Address each : deployment.controlHosts()) {
            network.call(each, EvacuationChannels.FETCH, new EvacuationQuery(), FETCH_TIMEOUT)
                    .thenAccept(result -> onAnswer(result, onConfirmed));
        }
    }

    private void onAnswer(CallResult<EvacuationReading> result, Runnable onConfirmed) {
        if (!(result instanceof CallResult.Answered<EvacuationReading> answered)) {
            return;
        }
        deployment.applyEvacuations(answered.value().evacuations());
        if (answered.value().known()) {
            onConfirmed.run();
        }
    }
}
