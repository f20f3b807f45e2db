package org.elmline.daemon.gateway;

import org.elmline.core.common.MonotonicClock;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.NodeSettings;
import org.xnio.XnioIoThread;

/** The parts of a gateway that every call uses. Used on the I/O thread only. */
record GatewayContext(
        NodeSettings settings,
        long incarnation,
        CallProtocol protocol,
        DeploymentFollower deployment,
        DispatchClient dispatchClient,
        ObservedServerLimits observedLimits,
        BackendAccess backends,
        QuarantineClient quarantine,
        HeldCalls heldCalls,
        XnioIoThread thread,
        MonotonicClock clock,
        DecisionLog log,
        CallMetrics callMetrics,
        AttemptIdGenerator attemptIds,
        OpenCalls openCalls,
        ColdSendLimit coldSends,
        MemoryGuard memory,
        GracefulShutdown shutdown) {
    /**
     * Retry-After when another entry serves: opening a new connection takes longer than this. With a longer time a
     * stopping entry would make callers with short deadlines late although other entries serve.
     */
    private static final long OTHER_ENTRY_MILLIS = 10;

    /** The same while none serves: the time for a control host's start and an election. */
    private static final long NO_ENTRY_MILLIS = 1_500;

    /** Retry-After of an entry that stops. */
    long retryElsewhereMillis() {
        return deployment.hasOtherServingEntry() ? OTHER_ENTRY_MILLIS : NO_ENTRY_MILLIS;
    }
}
