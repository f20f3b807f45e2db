package org.elmline.daemon.gateway;

import java.util.function.Consumer;

import io.undertow.client.ClientConnection;

/**
 * Finds out, after an answer has broken off, whether its server has ended: the server refuses a connection, and another
 * one of the service does not. A server that resets single connections still accepts new ones, one without power does
 * not answer at all, and an entry that has lost its links reaches no other server either. Used on the I/O thread only.
 */
final class CrashCheck {
    private final BackendConnectionPool connections;
    private final PathCheck pathCheck;

    CrashCheck(BackendConnectionPool connections, PathCheck pathCheck) {
        this.connections = connections;
        this.pathCheck = pathCheck;
    }

    /** @param result receives whether the server has ended */
    void check(BackendTarget target, Consumer<Boolean> result) {
        connections.open(target.address(), new BackendConnectionPool.AcquireCallback() {
            @Override
            public void onAcquired(ClientConnection connection, boolean opened) {
                connections.release(target.address(), connection, -1);
                result.accept(false);
            }

            @Override
            public void onRefused(String why) {
                pathCheck.check(target.server(), cut -> result.accept(!cut));
            }

            @Override
            public void onFailed(String why) {
                result.accept(false);
            }
        });
    }
}
