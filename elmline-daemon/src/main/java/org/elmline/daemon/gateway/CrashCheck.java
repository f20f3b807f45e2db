package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.client.ClientConnection;
import org.xnio.XnioExecutor;

/**
 * Finds out, after an answer has broken off, whether its server has ended: the server refuses a connection, and another
 * one of the service does not. A server that resets single connections still accepts new ones, one without power does
 * not answer at all, and an entry that has lost its links reaches no other server either. One that is ending may still
 * accept a connection after its answers have broken off, so that a second check is needed then. Used on the I/O thread
 * only.
 */
final class CrashCheck {
    private static final long SECOND_CHECK_DELAY_MILLIS = 50;

    private final BackendConnectionPool connections;
    private final PathCheck pathCheck;
    private final XnioExecutor thread;

    CrashCheck(BackendConnectionPool connections, PathCheck pathCheck, XnioExecutor thread) {
        this.connections = connections;
        this.pathCheck = pathCheck;
        this.thread = thread;
    }

    /** What a check shows of a server. */
    enum Finding {
        ACCEPTS_CONNECTIONS,
        ENDED,
        /** It refuses connections, as the others do: all of them have ended, or this entry's path is cut. */
        REFUSES_LIKE_OTHERS,
        NO_ANSWER
    }

    /** The second check of a server that accepted a connection in the first one. */
    void checkAgain(BackendTarget target, Consumer<Finding> result) {
        thread.executeAfter(() -> check(target, result), SECOND_CHECK_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    void check(BackendTarget target, Consumer<Finding> result) {
        connections.open(target.address(), new BackendConnectionPool.AcquireCallback() {
            @Override
            public void onAcquired(ClientConnection connection, boolean opened) {
                connections.release(target.address(), connection, -1);
                result.accept(Finding.ACCEPTS_CONNECTIONS);
            }

            @Override
            public void onRefused(String why) {
                pathCheck.check(
                        target.server(), cut -> result.accept(cut ? Finding.REFUSES_LIKE_OTHERS : Finding.ENDED));
            }

            @Override
            public void onFailed(String why) {
                result.accept(Finding.NO_ANSWER);
            }
        });
    }
}
