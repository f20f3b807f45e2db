package org.elmline.daemon.coordinator;

import java.util.HashSet;
import java.util.Set;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.registry.ColdReport;
import org.elmline.core.registry.Registration;
import org.elmline.daemon.log.DecisionLog;

/** Writes a log line when a server whose heartbeats reach this control host becomes cold or warm. */
final class ColdServerLog {
    private final DecisionLog log;
    private final Set<BackendServerId> coldServers = new HashSet<>();

    ColdServerLog(DecisionLog log) {
        this.log = log;
    }

    /**
     * Records a heartbeat.
     *
     * @param known how long this host counts the server as cold then; null when it knows nothing of that start
     */
    void record(Registration heartbeat, ColdReport known) {
        // A server that states no time is cold for the time of its service, which only entries know.
        boolean cold = known != null && known.stated() && known.millis() > 0;
        if (cold ? coldServers.add(heartbeat.id()) : coldServers.remove(heartbeat.id())) {
            log.line(cold ? "server cold" : "server warm")
                    .with("server", heartbeat.id())
                    .with("born", heartbeat.bornMillis())
                    .with("leftMs", cold ? known.millis() : 0)
                    .write();
        }
    }
}
