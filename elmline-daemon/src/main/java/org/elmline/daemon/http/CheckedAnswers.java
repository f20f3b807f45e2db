package org.elmline.daemon.http;

import javax.net.SocketFactory;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import okhttp3.Connection;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/** Lets OkHttp read answers over connections that check them, as OkHttp repairs or skips what is malformed. */
public final class CheckedAnswers {
    private CheckedAnswers() {}

    /** Adds the checks to a client. */
    public static OkHttpClient.Builder addTo(OkHttpClient.Builder client) {
        return client.socketFactory(new CheckedSocketFactory()).addNetworkInterceptor(CheckedAnswers::intercept);
    }

    private static Response intercept(Interceptor.Chain chain) throws IOException {
        Connection connection = chain.connection();
        if (connection != null && connection.socket() instanceof CheckedSocket socket) {
            socket.expectAnswer(chain.request().method());
        }
        return chain.proceed(chain.request());
    }

    private static final class CheckedSocketFactory extends SocketFactory {
        @Override
        public Socket createSocket() {
            return new CheckedSocket();
        }

        @Override
        public Socket createSocket(String host, int port) throws IOException {
            return createSocket(InetAddress.getByName(host), port);
        }

        @Override
        public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
            return createSocket(InetAddress.getByName(host), port, localHost, localPort);
        }

        @Override
        public Socket createSocket(InetAddress host, int port) throws IOException {
            Socket socket = createSocket();
            socket.connect(new InetSocketAddress(host, port));
            return socket;
        }

        @Override
        public Socket createSocket(InetAddress address, int port, InetAddress localAddress, int localPort)
                throws IOException {
            Socket socket = createSocket();
            socket.bind(new InetSocketAddress(localAddress, localPort));
            socket.connect(new InetSocketAddress(address, port));
            return socket;
        }
    }
}
