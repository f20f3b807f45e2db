package org.elmline.standin.service;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.elmline.core.backend.AnnounceAnswer;
import org.elmline.core.backend.Announcement;
import org.elmline.core.common.Address;
import org.elmline.standin.StandinHttpResponses;
import org.elmline.standin.StandinHttpServer;
import org.elmline.wire.engine.EngineJson;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServiceServerTest {
    private static final int MAX_POLLS = 3_000;

    private final OkHttpClient client =
            new OkHttpClient.Builder().retryOnConnectionFailure(false).build();

    @Test
    void countsEveryRunAndNeverDeduplicates() throws IOException {
        try (ServiceServer service = ServiceServer.builder().id("booking-1").start()) {
            assertEquals(200, hold(service, "k1").code());
            assertEquals(200, hold(service, "k1").code());
            assertEquals(200, get(service, "/seats/a1").code());
            assertEquals(
                    List.of(new RunCounts.Run("k1", "/seats/a1/hold", "{}", 2)),
                    service.runs().runs());
            assertTrue(get(service, "/runs").body().string().contains("\"count\":2"));
        }
    }

    /** Guards against a stand-in that survives what ends a cold server, after its start or when set cold while it runs. */
    @Test
    void coldServiceEndsAboveItsRate() throws Exception {
        CountDownLatch ended = new CountDownLatch(1);
        try (ServiceServer service = ServiceServer.builder()
                .id("booking-1")
                .coldStart(Duration.ofSeconds(60), 2)
                .onCrash(ended::countDown)
                .start()) {
            assertTrue(get(service, "/standin/cold").body().string().contains("\"coldLeftMillis\":"));
            assertEquals(200, setFaults(service, "{\"coldSeconds\":0}").code());
            for (int i = 0; i < 20; i++) {
                assertEquals(200, get(service, "/schedule").code());
            }
            assertEquals(
                    "{\"coldLeftMillis\":0}",
                    get(service, "/standin/cold").body().string());
            assertEquals(400, setFaults(service, "{\"coldSeconds\":-1}").code());
            assertEquals(
                    200,
                    setFaults(service, "{\"coldSeconds\":60,\"coldPerSecond\":0.1}")
                            .code());
            assertThrows(IOException.class, () -> {
                for (int i = 0; i < 7; i++) {
                    get(service, "/schedule").close();
                }
            });
            assertTrue(ended.await(10, TimeUnit.SECONDS));
            assertTrue(service.isClosed());
        }
    }

    private Response setFaults(ServiceServer service, String json) throws IOException {
        Request request = new Request.Builder()
                .url("http://" + service.address() + "/standin/faults")
                .put(RequestBody.create(json, MediaType.get("application/json")))
                .build();
        return client.newCall(request).execute();
    }

    /** The call runs and its answer is lost: the caller can't detect whether it ran, but the run must be counted. */
    @Test
    void callWithDroppedAnswerIsCountedAsRun() throws IOException {
        try (ServiceServer service = ServiceServer.builder().id("booking-1").start()) {
            service.faults().mode(ServiceFaults.Mode.DROP_ANSWER);
            assertThrows(IOException.class, () -> hold(service, "k2"));
            assertEquals(1, service.runs().runs().size());
        }
    }

    @Test
    void refusalBeforeRunningReportsThatNothingRan() throws IOException {
        try (ServiceServer service = ServiceServer.builder().id("booking-1").start()) {
            service.faults().mode(ServiceFaults.Mode.FAIL_BEFORE_RUNNING);
            Response response = hold(service, "k3");
            assertEquals(503, response.code());
            assertEquals("no", response.header("Elmline-Ran"));
            assertEquals(List.of(), service.runs().runs());
        }
    }

    /** Guards against tests that end the sender of a call before the service has received all of it. */
    @Test
    void callCountsAsReceivedWithItsWholeBody() throws Exception {
        try (ServiceServer service = ServiceServer.builder().id("booking-1").start();
                Socket caller =
                        new Socket(service.address().ip(), service.address().port())) {
            write(caller, "POST /seats/a1/hold HTTP/1.1\r\nHost: s\r\nContent-Length: 2\r\n\r\n{");
            await(() -> service.announcement().load().streams() == 1);
            assertEquals(
                    "{\"runs\":[],\"received\":0}", get(service, "/runs").body().string());
            write(caller, "}");
            await(() -> service.announcement().load().streams() == 0);
            assertTrue(get(service, "/runs").body().string().endsWith("\"count\":1}],\"received\":1}"));
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        for (int i = 0; i < MAX_POLLS && !condition.getAsBoolean(); i++) {
            Thread.sleep(10);
        }
        assertTrue(condition.getAsBoolean());
    }

    /**
     * One seed address is unreachable and one answers: the service must announce itself to the latter, also that it
     * leaves.
     */
    @Test
    void announcesToReachableAddressAndAnnouncesLeaving() throws Exception {
        BlockingQueue<Announcement> receivedAnnouncements = new LinkedBlockingQueue<>();
        try (StandinHttpServer entry = new StandinHttpServer(
                        0, exchange -> exchange.getRequestReceiver().receiveFullBytes((e, bytes) -> {
                            assertEquals("Bearer secret", e.getRequestHeaders().getFirst("Authorization"));
                            try {
                                receivedAnnouncements.add(EngineJson.read(bytes, Announcement.class));
                            } catch (IOException bad) {
                                throw new AssertionError(bad);
                            }
                            StandinHttpResponses.send(e, new AnnounceAnswer(50, 500, List.of()));
                        }));
                ServiceServer service = ServiceServer.builder()
                        .id("booking-1")
                        .announceTo(new Address("127.0.0.1", 1))
                        .announceTo(entry.address())
                        .backendKey("secret")
                        .start()) {
            Announcement first = receivedAnnouncements.poll(30, TimeUnit.SECONDS);
            assertNotNull(first);
            assertEquals(service.address(), first.address());
            assertTrue(service.leave(Duration.ofSeconds(1)));
            boolean left = false;
            for (Announcement each : receivedAnnouncements) {
                left |= each.leaving();
            }
            assertTrue(left);
        }
    }

    private Response hold(ServiceServer service, String key) throws IOException {
        return client.newCall(new Request.Builder()
                        .url("http://" + service.address() + "/seats/a1/hold")
                        .header("Idempotency-Key", key)
                        .post(RequestBody.create("{}", MediaType.get("application/json")))
                        .build())
                .execute();
    }

    private Response get(ServiceServer service, String path) throws IOException {
        return client.newCall(new Request.Builder()
                        .url("http://" + service.address() + path)
                        .build())
                .execute();
    }
}
