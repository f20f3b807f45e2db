/**
 * Components shared by the gateway and the coordinator: settings, ports, peer communication, and handling of start,
 * reload and stop.
 */
package org.elmline.daemon.node;
