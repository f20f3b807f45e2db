package org.elmline.daemon.settings;

import java.util.List;

/**
 * The keys a control host needs.
 *
 * @param peerKey shared by elmline's own processes, which authenticate each other with it
 * @param operatorKeys each opens the operators' port
 */
public record ControlKeys(Secret peerKey, List<Secret> operatorKeys) {
    public ControlKeys {
        operatorKeys = List.copyOf(operatorKeys);
    }
}
