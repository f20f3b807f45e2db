package org.elmline.daemon.settings;

import java.util.List;

/**
 * The keys of a control host.
 *
 * @param peerKey shared by elmline's own processes, which authenticate each other with it
 * @param operatorKeys each gives access to the operators' port
 */
public record ControlKeys(Secret peerKey, List<Secret> operatorKeys) {
    public ControlKeys {
        operatorKeys = List.copyOf(operatorKeys);
    }
}
