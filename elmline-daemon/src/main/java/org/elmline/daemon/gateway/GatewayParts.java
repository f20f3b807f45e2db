package org.elmline.daemon.gateway;

import org.elmline.core.common.MonotonicClock;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.NodeSettings;
import org.xnio.XnioIoThread;

/** What every call through a gateway uses. */
record GatewayParts(
        NodeSettings settings,
        long incarnation,
        CallProtocol protocol,
        Fleet fleet,
        DispatchClient dispatch,
        HeardLimits limits,
        BackendConnections connections,
        XnioIoThread thread,
        MonotonicClock clock,
        DecisionLog log,
        CallMetrics callMetrics,
        CallIds ids,
        OpenCalls open) {}
