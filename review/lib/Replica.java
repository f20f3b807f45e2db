import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** A replica: answers requests over HTTP/1.1, one at a time on a connection, and sends its heartbeats. */
final class Replica {
    /** What a replica does with a request that it has read. */
    interface Behaviour {
        void answer(Exchange exchange) throws IOException;
    }

    /** One request on one connection. */
    static final class Exchange {
        final Replica replica;
        final Socket socket;
        final int numberOnConnection;
        final Http.Head head;
        final byte[] body;
        final OutputStream out;

        Exchange(Replica replica, Socket socket, int number, Http.Head head, byte[] body) throws IOException {
            this.replica = replica;
            this.socket = socket;
            this.numberOnConnection = number;
            this.head = head;
            this.body = body;
            this.out = socket.getOutputStream();
        }

        String id() {
            return head.header("X-Elmline-Request-Id");
        }

        String target() {
            return head.first.split(" ")[1];
        }

        /** The whole answer of a sound replica. */
        byte[] success(byte[] content) {
            String text = "HTTP/1.1 200 OK\r\nX-Elmline-Request-Id: " + id() + "\r\nX-Elmline-Replica-Seal: "
                    + replica.seal(id()) + "\r\nX-Elmline-Replica-Load: 1,0," + replica.slots
                    + "\r\nKeep-Alive: timeout=10\r\nContent-Length: " + content.length + "\r\n\r\n";
            return concat(text.getBytes(StandardCharsets.ISO_8859_1), content);
        }

        void send(byte[] bytes) throws IOException {
            out.write(bytes);
            out.flush();
        }
    }

    static byte[] concat(byte[] first, byte[] second) {
        byte[] all = new byte[first.length + second.length];
        System.arraycopy(first, 0, all, 0, first.length);
        System.arraycopy(second, 0, all, first.length, second.length);
        return all;
    }

    private final Lab lab;
    final String ip;
    final int port;
    final String id;
    final String service;
    final int slots = 11;
    /** Time over which a request's body is read; 0 to read it at once. */
    volatile int readMillis;
    final long born = System.currentTimeMillis();
    /** Ids of the requests that this replica began to work on, in order. */
    final List<String> ran = Collections.synchronizedList(new ArrayList<>());
    private final Behaviour behaviour;
    private final ServerSocket server;
    private volatile boolean stopped;
    private long sequence;

    Replica(Lab lab, String ip, int port, String id, String service, Behaviour behaviour) throws IOException {
        this.lab = lab;
        this.ip = ip;
        this.port = port;
        this.id = id;
        this.service = service;
        this.behaviour = behaviour;
        this.server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(ip, port), 200);
    }

    String seal(String request) {
        return Integer.toHexString((id + request).hashCode()) + ".0." + id;
    }

    void start() {
        daemon(this::accept);
        daemon(this::sendHeartbeats);
    }

    void stop() {
        stopped = true;
        try {
            server.close();
        } catch (IOException e) {
            // Nothing is left to do.
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void accept() {
        while (!stopped) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                daemon(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            int number = 0;
            for (Http.Head head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                byte[] body = readMillis > 0 && head.length() > 0
                        ? readSlowly(in, (int) head.length())
                        : Http.readBody(in, head);
                number++;
                handle(new Exchange(this, socket, number, head, body));
            }
        } catch (IOException e) {
            // The peer has closed the connection.
        }
    }

    private byte[] readSlowly(InputStream in, int length) throws IOException {
        byte[] body = new byte[length];
        int parts = 20;
        int done = 0;
        for (int i = 1; i <= parts; i++) {
            Lab.sleep(readMillis / parts);
            int count = (int) ((long) length * i / parts) - done;
            if (in.readNBytes(body, done, count) < count) {
                throw new IOException("the peer left");
            }
            done += count;
        }
        return body;
    }

    private void handle(Exchange exchange) throws IOException {
        String expected = exchange.head.header("X-Elmline-Expect-Replica");
        if (exchange.target().equals("/health")) {
            exchange.send(("HTTP/1.1 200 OK\r\nX-Elmline-Replica-Id: " + id + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.ISO_8859_1));
        } else if (expected != null && !expected.equals(id)) {
            exchange.send(("HTTP/1.1 421 Misdirected Request\r\nX-Elmline-Not-Executed: 1\r\nX-Elmline-Replica-Id: "
                    + id + "\r\nContent-Length: 0\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1));
        } else {
            behaviour.answer(exchange);
        }
    }

    private void sendHeartbeats() {
        int node = 0;
        while (!stopped) {
            sequence++;
            String json = "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" + port
                    + "\",\"zone\":\"chiangmai-a\",\"version\":\"v1\",\"slots\":" + slots
                    + ",\"state\":\"ready\",\"coldLeftMs\":0,\"seq\":" + sequence + ",\"born\":" + born + "}";
            for (int i = 0; i < lab.controls.size() && !stopped; i++) {
                try {
                    Http.Answer answer = Http.call(lab.controls.get(node % lab.controls.size()), Lab.CONTROL_PORT, "PUT",
                            "/replicas/" + id, List.of("Content-Type: application/json"),
                            json.getBytes(StandardCharsets.UTF_8), 1_000);
                    if (answer.status / 100 == 2) {
                        break;
                    }
                } catch (IOException e) {
                    // The next control host is called.
                }
                node++;
            }
            Lab.sleep(1_200);
        }
    }
}
