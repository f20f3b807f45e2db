package org.elmline.daemon.gateway;

import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.client.ClientConnection;
import org.xnio.XnioExecutor;

/**
 * Finds out, after an answer has ended too early, whether its server has ended: the server refuses a connection or does
 * not answer at all, and another one of the service accepts one. A server that resets single connections still accepts
 * new ones, and an entry that has lost its links reaches no other server either. One that is ending may still accept a
 * connection after its answers have broken off, so that further checks are needed then. Used on the I/O thread only.
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
        ACCEPTS_CONNECTIONS(false),
        /** It refuses connections, and another server accepts one. */
        ENDED(true),
        /** It answers no connection, and another server accepts one: it has no power, or is cut off. */
        UNREACHABLE(true),
        /** A later start of a server at its address is registered. */
        STARTED_AGAIN(true),
        /** Its heartbeats have ceased without notice, and it accepts no connection. */
        EXPIRED(true),
        /** It refuses connections, as the others do: all of them have ended, or this entry's path is cut. */
        REFUSES_LIKE_OTHERS(false),
        /** It answers no connection, nor does any other server that was tried. */
        NO_ANSWER(false);

        private final boolean showsEnd;

        Finding(boolean showsEnd) {
            this.showsEnd = showsEnd;
        }

        /** Whether the server has ended, as far as an entry can tell. */
        boolean showsEnd() {
            return showsEnd;
        }
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
                pathCheck.connectToOthers(
                        target.server(),
                        false,
                        cut -> result.accept(cut ? Finding.REFUSES_LIKE_OTHERS : Finding.ENDED));
            }

            @Override
            public void onFailed(String why) {
                pathCheck.connectToOthers(
                        target.server(), true, cut -> result.accept(cut ? Finding.NO_ANSWER : Finding.UNREACHABLE));
            }
        });
    }
}
