package org.elmline.daemon.gateway;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import io.undertow.client.ClientConnection;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/**
 * An I/O thread as the HTTP client sees it, which reaches the sockets that it opens, as the client offers no other way to
 * them: places guards below the client on each one. Never started; all work is done by the thread behind it, on which
 * alone it is used.
 */
final class ConnectionOpener extends XnioIoThread {
    private final XnioIoThread thread;
    private ConnectionGuards latestGuards;

    ConnectionOpener(XnioIoThread thread) {
        super(thread.getWorker(), thread.getNumber());
        this.thread = thread;
    }

    /**
     * Attaches the guards of the socket that was opened last; the client reports each connection before the next is
     * opened.
     */
    void attachLatestTo(ClientConnection connection) {
        latestGuards.attachTo(connection);
    }

    @Override
    public IoFuture<StreamConnection> openStreamConnection(
            SocketAddress destination, ChannelListener<? super StreamConnection> openListener, OptionMap options) {
        ChannelListener<StreamConnection> listener = connection -> {
            latestGuards = ConnectionGuards.install(connection);
            openListener.handleEvent(connection);
        };
        return thread.openStreamConnection(destination, listener, options);
    }

    @Override
    public void execute(Runnable command) {
        thread.execute(command);
    }

    @Override
    public XnioExecutor.Key executeAfter(Runnable command, long time, TimeUnit unit) {
        return thread.executeAfter(command, time, unit);
    }

    @Override
    public XnioExecutor.Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
        return thread.executeAtInterval(command, time, unit);
    }
}
