package org.elmline.daemon.settings;

import java.util.List;

/**
 * The keys of an entry. Keys of organisations are not among them: their hashes arrive with tickets.
 *
 * @param peerKey shared by elmline's own processes, which authenticate each other with it
 * @param operatorKeys each gives access to the operators' port
 * @param backendKeys each allows a backend server to announce itself
 */
public record EntryKeys(Secret peerKey, List<Secret> operatorKeys, List<Secret> backendKeys) {
    public EntryKeys {
        operatorKeys = List.copyOf(operatorKeys);
        backendKeys = List.copyOf(backendKeys);
    }
}
