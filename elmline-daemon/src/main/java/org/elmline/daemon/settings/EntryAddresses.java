package org.elmline.daemon.settings;

/**
 * Addresses on which an entry listens, one for each kind of client.
 *
 * @param callers HTTP for callers, and for backend servers that announce themselves
 * @param operators HTTP for operators
 * @param peers TCP for elmline's own processes
 */
public record EntryAddresses(ListenAddress callers, ListenAddress operators, ListenAddress peers) {
    /** Free ports of the loopback address. */
    public static EntryAddresses anyLoopbackPorts() {
        return new EntryAddresses(
                ListenAddress.anyLoopbackPort(), ListenAddress.anyLoopbackPort(), ListenAddress.anyLoopbackPort());
    }
}
