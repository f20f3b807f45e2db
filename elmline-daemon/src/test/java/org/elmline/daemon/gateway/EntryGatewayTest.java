package org.elmline.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import org.elmline.core.common.MonotonicClock;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.log.LibraryLogHandler;
import org.elmline.daemon.node.FatalErrors;
import org.elmline.daemon.node.NodeSettings;
import org.elmline.daemon.runtime.SystemClock;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.xnio.XnioIoThread;

import static org.junit.jupiter.api.Assertions.assertTrue;

class EntryGatewayTest {
    private static final String IP = "127.0.2.10";
    private static final long EXIT_TIMEOUT_SECONDS = 30;

    private final ByteArrayOutputStream logOutput = new ByteArrayOutputStream();
    private final Thread.UncaughtExceptionHandler handlerBefore = Thread.getDefaultUncaughtExceptionHandler();

    @AfterEach
    void uninstallFatalErrors() {
        Thread.setDefaultUncaughtExceptionHandler(handlerBefore);
        LibraryLogHandler.onThrown(thrown -> {});
    }

    /** Fails the first log line of an I/O thread, which an entry writes while its parts are created. */
    private static MonotonicClock failingOnIoThread() {
        MonotonicClock clock = new SystemClock();
        AtomicBoolean failed = new AtomicBoolean();
        return () -> {
            if (Thread.currentThread() instanceof XnioIoThread && failed.compareAndSet(false, true)) {
                throw new IllegalStateException("injected");
            }
            return clock.nanos();
        };
    }

    private static NodeSettings settings() throws IOException {
        String json = "{\"name\":\"e\",\"ip\":\"%s\",\"region\":\"r\",\"failureDomain\":\"a\",\"peerPort\":%d,"
                + "\"callers\":\"%1$s:%d\",\"ready\":\"%1$s:%d\",\"peerKey\":\"sixteen-characters\","
                + "\"controlHosts\":[\"%1$s:9\"]}";
        try (ServerSocket peers = new ServerSocket(0);
                ServerSocket callers = new ServerSocket(0);
                ServerSocket ready = new ServerSocket(0)) {
            String text = json.formatted(IP, peers.getLocalPort(), callers.getLocalPort(), ready.getLocalPort());
            NodeSettings.ParseResult read = NodeSettings.read(text.getBytes(StandardCharsets.UTF_8));
            return ((NodeSettings.ParseResult.Valid) read).settings();
        }
    }

    /** Guards against a process that keeps running, with open ports and without answers, as its parts are missing. */
    @Test
    void entryThatCannotBeAssembledExits() throws Exception {
        CountDownLatch exit = new CountDownLatch(1);
        try (DecisionLog log = new DecisionLog("e", "entry", failingOnIoThread(), logOutput)) {
            FatalErrors.install(log, exit::countDown);
            try (EntryGateway gateway = EntryGateway.start(settings(), null, null, null, log)) {
                assertTrue(exit.await(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "keeps running");
            }
        }
        String text = logOutput.toString(StandardCharsets.UTF_8);
        assertTrue(text.contains("\"event\":\"fatal error\""), text);
        assertTrue(text.contains("injected"), text);
    }
}
