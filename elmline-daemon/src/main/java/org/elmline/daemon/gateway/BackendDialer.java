package org.elmline.daemon.gateway;

import java.net.URI;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.UndertowClient;
import io.undertow.connector.ByteBufferPool;
import org.elmline.core.common.Address;
import org.xnio.OptionMap;
import org.xnio.XnioIoThread;

/** Opens the connections of an entry to backend servers and to entries that forward for it. */
public interface BackendDialer {
    /** Opens connections over TCP. */
    BackendDialer TCP = (address, thread, buffers, callback) -> UndertowClient.getInstance()
            .connect(callback, URI.create("http://" + address), thread, buffers, OptionMap.EMPTY);

    /** Connects to an address. The callback runs on the I/O thread; never if the other side does not answer at all. */
    void connect(
            Address address, XnioIoThread thread, ByteBufferPool buffers, ClientCallback<ClientConnection> callback);
}
