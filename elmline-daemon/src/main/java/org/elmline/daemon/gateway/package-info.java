/**
 * An entry that forwards calls: it reads a call, requests a place from the dispatcher of its service, sends the call to
 * the backend server and forwards the answer. All of it runs on one I/O thread, so its state needs no locks.
 */
package org.elmline.daemon.gateway;
