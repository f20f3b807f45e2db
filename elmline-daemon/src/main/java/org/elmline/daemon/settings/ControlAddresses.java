package org.elmline.daemon.settings;

/**
 * Addresses on which a control host listens.
 *
 * @param operators HTTP for operators: state, events and metrics
 * @param peers TCP for elmline's own processes
 */
public record ControlAddresses(ListenAddress operators, ListenAddress peers) {
    /** Free ports of the loopback address. */
    public static ControlAddresses anyLoopbackPorts() {
        return new ControlAddresses(ListenAddress.anyLoopbackPort(), ListenAddress.anyLoopbackPort());
    }
}
