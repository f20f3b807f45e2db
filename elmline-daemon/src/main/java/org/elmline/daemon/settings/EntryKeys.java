package org.elmline.daemon.settings;

import java.util.List;

/**
 * The keys an entry needs. Keys of organisations are not here: tickets bring their hashes.
 *
 * @param peerKey shared by elmline's own processes, which authenticate each other with it
 * @param operatorKeys each opens the operators' port
 * @param backendKeys each lets a backend server announce itself
 */
public record EntryKeys(Secret peerKey, List<Secret> operatorKeys, List<Secret> backendKeys) {
    public EntryKeys {
        operatorKeys = List.copyOf(operatorKeys);
        backendKeys = List.copyOf(backendKeys);
    }
}
