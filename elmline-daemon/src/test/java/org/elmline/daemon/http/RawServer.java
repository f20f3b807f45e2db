package org.elmline.daemon.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import org.elmline.core.common.Address;

/** A server that sends the same bytes in answer to the first byte of each connection, then closes or resets it. */
public final class RawServer implements AutoCloseable {
    /** Time in which the answer reaches a client that still sends. */
    private static final long CLOSE_DELAY_MILLIS = 100;

    private final ServerSocket server;
    private final byte[] answer;
    private final boolean resets;

    public RawServer(String answer, boolean resets) throws IOException {
        this.resets = resets;
        this.answer = answer.getBytes(StandardCharsets.ISO_8859_1);
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    public Address address() {
        return new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
    }

    private void accept() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(answer);
                Thread.sleep(CLOSE_DELAY_MILLIS);
                if (resets) {
                    socket.setSoLinger(true, 0);
                } else {
                    socket.getInputStream().skipNBytes(socket.getInputStream().available());
                }
            } catch (IOException | InterruptedException e) {
                // The client has closed the connection, or the test this server.
            }
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
