package org.elmline.daemon.coordinator;

import org.elmline.core.common.HostId;
import org.elmline.core.evacuation.EvacuationProgress;

/** What a live entry last reported on evacuations. */
public record EvacuationFollower(HostId entry, EvacuationProgress progress) {}
