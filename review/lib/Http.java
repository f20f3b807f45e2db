import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Plain HTTP/1.1 over sockets. */
final class Http {
    private Http() {}

    /** A request line or status line with its headers. */
    static final class Head {
        final String first;
        final Map<String, String> headers = new LinkedHashMap<>();

        Head(String first) {
            this.first = first;
        }

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        long length() {
            String value = header("content-length");
            return value == null ? -1 : Long.parseLong(value.trim());
        }

        boolean chunked() {
            String value = header("transfer-encoding");
            return value != null && value.toLowerCase(Locale.ROOT).contains("chunked");
        }
    }

    /** An answer; {@code complete} is false when the connection ended before its declared end. */
    static final class Answer {
        int status;
        Head head;
        byte[] body = new byte[0];
        boolean complete;
        String failure;

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** Reads a head; null at the end of the input before its first byte. */
    static Head readHead(InputStream in) throws IOException {
        String first = readLine(in);
        if (first == null) {
            return null;
        }
        Head head = new Head(first);
        for (String line = readLine(in); line != null && !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            head.headers.put(line.substring(0, colon).trim().toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        return head;
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next = in.read();
        if (next < 0) {
            return null;
        }
        for (; next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("the input ends within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static byte[] readBody(InputStream in, Head head) throws IOException {
        if (head.chunked()) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String line = readLine(in);
                if (line == null) {
                    throw new EOFException("the input ends before the last chunk");
                }
                int size = Integer.parseInt(line.trim(), 16);
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new EOFException("the input ends within a chunk");
                }
                body.write(chunk);
                readLine(in);
                if (size == 0) {
                    return body.toByteArray();
                }
            }
        }
        long length = Math.max(0, head.length());
        byte[] body = in.readNBytes((int) length);
        if (body.length < length) {
            throw new EOFException("the input ends after " + body.length + " of " + length + " bytes");
        }
        return body;
    }

    static byte[] request(String method, String path, String host, List<String> headers, byte[] body) {
        StringBuilder text = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\n");
        headers.forEach(each -> text.append(each).append("\r\n"));
        if (body != null) {
            text.append("Content-Length: ").append(body.length).append("\r\n");
        }
        text.append("\r\n");
        byte[] head = text.toString().getBytes(StandardCharsets.ISO_8859_1);
        if (body == null) {
            return head;
        }
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        return all;
    }

    static Answer readAnswer(InputStream in) throws IOException {
        Answer answer = new Answer();
        Head head = readHead(in);
        if (head == null) {
            throw new EOFException("the connection was closed without an answer");
        }
        answer.head = head;
        answer.status = Integer.parseInt(head.first.split(" ")[1]);
        if (head.length() < 0 && !head.chunked()) {
            answer.body = new byte[0];
        } else {
            answer.body = readBody(in, head);
        }
        answer.complete = true;
        return answer;
    }

    /** One call on a connection of its own. */
    static Answer call(String ip, int port, String method, String path, List<String> headers, byte[] body, int timeout)
            throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(ip, port), timeout);
            socket.setSoTimeout(timeout);
            List<String> all = new ArrayList<>(headers);
            all.add("Connection: close");
            OutputStream out = socket.getOutputStream();
            out.write(request(method, path, Lab.HOST, all, body));
            out.flush();
            return readAnswer(socket.getInputStream());
        }
    }
}
