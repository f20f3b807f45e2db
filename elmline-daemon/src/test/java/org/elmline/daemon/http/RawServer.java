package org.elmline.daemon.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicLong;

import org.elmline.core.common.Address;

/** A server that sends the same bytes in answer to the first byte of each connection, whatever the request is. */
public final class RawServer implements AutoCloseable {
    /** Time in which the answer reaches a client that still sends. */
    private static final long CLOSE_DELAY_MILLIS = 100;

    private static final int PIECE_BYTES = 1 << 16;
    private static final long ENOUGH_BYTES = 128L << 20;

    private final ServerSocket server;
    private final byte[] answer;
    private final End end;
    private final AtomicLong sentBytes = new AtomicLong();

    /** What follows the bytes. */
    public enum End {
        CLOSE {
            @Override
            void apply(Socket socket, AtomicLong sentBytes) throws IOException {
                socket.getInputStream().skipNBytes(socket.getInputStream().available());
            }
        },
        RESET {
            @Override
            void apply(Socket socket, AtomicLong sentBytes) throws IOException {
                socket.setSoLinger(true, 0);
            }
        },
        /** Nothing, whatever is received. */
        SILENCE {
            @Override
            void apply(Socket socket, AtomicLong sentBytes) throws IOException {
                socket.getInputStream().readAllBytes();
            }
        },
        /** The letter "a" until the connection is closed. */
        NONE {
            @Override
            void apply(Socket socket, AtomicLong sentBytes) throws IOException {
                byte[] piece = new byte[PIECE_BYTES];
                Arrays.fill(piece, (byte) 'a');
                while (sentBytes.addAndGet(PIECE_BYTES) < ENOUGH_BYTES) {
                    socket.getOutputStream().write(piece);
                }
            }
        };

        abstract void apply(Socket socket, AtomicLong sentBytes) throws IOException;
    }

    public RawServer(String answer, End end) throws IOException {
        this.answer = answer.getBytes(StandardCharsets.ISO_8859_1);
        this.end = end;
        this.server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        Thread thread = new Thread(this::accept, "raw-server");
        thread.setDaemon(true);
        thread.start();
    }

    public Address address() {
        return new Address(server.getInetAddress().getHostAddress(), server.getLocalPort());
    }

    /** Bytes sent without end so far. */
    public long sentBytes() {
        return sentBytes.get();
    }

    private void accept() {
        while (!server.isClosed()) {
            try (Socket socket = server.accept()) {
                socket.getInputStream().read();
                socket.getOutputStream().write(answer);
                Thread.sleep(CLOSE_DELAY_MILLIS);
                end.apply(socket, sentBytes);
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
