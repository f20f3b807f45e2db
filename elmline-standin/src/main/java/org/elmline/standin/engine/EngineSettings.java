package org.elmline.standin.engine;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;
import org.elmline.core.engine.EngineState;
import org.elmline.standin.model.EngineProfile;

/**
 * Settings of one stand-in engine. Times are in the engine's own time, which runs {@code timeScale} times as fast as
 * real time.
 *
 * @param retentionNanos how long a finished stream is kept for a reader that has not received its end
 * @param cacheEventLossRate share of cache events that are never published, 0 to 1
 * @param importedShare memory that an imported segment takes, as a share of its tokens; the rest is read from the
 *     exporter, so that a prompt larger than one engine's memory can be answered
 * @param coldNanos for how long it is cold after its start
 * @param coldPerSecond requests a second that it takes while it is cold
 * @param onCrash run after the engine has ended because of a prompt or of too many requests while cold
 */
record EngineSettings(
        BackendServerId id,
        Incarnation incarnation,
        FailureDomain failureDomain,
        Region region,
        EngineState initialState,
        EngineProfile profile,
        double timeScale,
        long retentionNanos,
        long weightLoadNanos,
        long loadReportDelayNanos,
        long cacheEventDelayNanos,
        double cacheEventLossRate,
        double importedShare,
        boolean checksFencing,
        long seed,
        int port,
        List<Address> announceTo,
        String backendKey,
        long coldNanos,
        double coldPerSecond,
        Runnable onCrash) {}
