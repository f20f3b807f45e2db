package org.elmline.daemon.engine;

import java.time.Duration;
import java.util.List;
import java.util.ServiceLoader;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.Ran;
import org.elmline.core.engine.CacheEvents;
import org.elmline.core.engine.EngineClient;
import org.elmline.core.engine.EngineOrder;
import org.elmline.core.engine.EngineProtocol;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.KvExport;
import org.elmline.core.engine.OrderAnswer;
import org.elmline.core.engine.PromptBlocks;
import org.elmline.core.engine.StreamEvent;
import org.elmline.core.engine.StreamInfo;
import org.elmline.daemon.http.RawServer;
import org.elmline.standin.AnswerText;
import org.elmline.standin.engine.EngineServer;
import org.elmline.standin.engine.PieceFault;
import org.elmline.standin.model.EngineProfile;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the plug-in against a stand-in engine over HTTP. */
class StandinEngineProtocolTest {
    private static final ModelName MODEL = ModelName.of("elm-small");
    private static final String PROMPT = "Is the north trail open at nine? ".repeat(40);

    private StandinEngineProtocol protocol;
    private EngineServer engine;
    private EngineClient client;

    @BeforeEach
    void start() {
        protocol = new StandinEngineProtocol();
        engine = engine("engine-1").start();
        client = protocol.connect(engine.address());
    }

    @AfterEach
    void stop() {
        client.close();
        protocol.close();
        engine.close();
    }

    @Test
    void registersAsPlugIn() {
        boolean found = ServiceLoader.load(EngineProtocol.class).stream()
                .anyMatch(each -> each.get().name().equals("standin"));
        assertTrue(found);
    }

    /** Guards against an engine's answer with fields or a length that are not the engine's. */
    @ParameterizedTest
    @ValueSource(strings = {"garbage", "Content-Length : 2", "X Y: a", "Content-Length: 2\r\nContent-Length: 3"})
    void malformedAnswerIsNone(String field) throws Exception {
        try (RawServer server = new RawServer("HTTP/1.1 200 OK\r\n" + field + "\r\n\r\n[]", RawServer.End.CLOSE)) {
            EngineClient troubled = protocol.connect(server.address());
            assertInstanceOf(CallResult.Unknown.class, troubled.streams().get(10, TimeUnit.SECONDS));
        }
    }

    @Test
    void streamsExactlyTheAnswer() throws Exception {
        StreamLog log = new StreamLog();
        client.start(request("a1", PROMPT, 60), log);
        AnswerText expected = AnswerText.of(MODEL, "", PROMPT, 60);
        assertEquals(
                new StreamEvent.End(AttemptId.of("a1"), expected.pieceCount(), expected.finishReason()), log.last());
        assertEquals(expected.text(), log.text());
        await(() -> engine.openStreams() == 0);
        assertEquals(0, engine.usedKvTokens());
    }

    /**
     * The entry loses its connection to the engine in the middle of an answer. The engine continues and keeps the
     * memory; a resume from the next piece must give the rest, with no piece lost or duplicated.
     */
    @Test
    void resumesFromAnOffsetAfterABrokenConnection() throws Exception {
        String prompt = longAnswerPrompt();
        engine.faults().slowdown(40);
        StreamLog first = new StreamLog();
        client.start(request("a2", prompt, 200), first);
        first.awaitPieces(5);
        engine.faults().dropReaders();
        assertEquals(Ran.UNKNOWN, ((StreamEvent.Failed) first.last()).ran());
        assertEquals(1, engine.openStreams());
        engine.faults().slowdown(1);
        int offset = first.pieces().size();
        StreamLog second = new StreamLog();
        client.resume(AttemptId.of("a2"), offset, second);
        assertInstanceOf(StreamEvent.End.class, second.last());
        assertEquals(AnswerText.of(MODEL, "", prompt, 200).text(), first.text() + second.text());
        assertEquals(offset, second.pieces().get(0).index());
    }

    /** An engine fails in the middle of an answer; another must continue from the pieces that were delivered. */
    @Test
    void continuesOnAnotherEngineWithTheSamePieces() throws Exception {
        List<String> whole = AnswerText.of(MODEL, "", PROMPT, 60).pieces();
        List<String> delivered = whole.subList(0, whole.size() / 2);
        StreamLog log = new StreamLog();
        client.start(request("a3", PROMPT, 60, delivered, List.of()), log);
        StreamEvent.End end = (StreamEvent.End) log.last();
        assertEquals(whole.size(), end.count());
        assertEquals(whole, concat(delivered, log));
    }

    /**
     * A reader closes its stream without cancelling. The engine keeps the stream's memory until a cancel arrives, so
     * elmline must send one.
     */
    @Test
    void keepsMemoryOfAnAbandonedStreamUntilCancelled() throws Exception {
        engine.faults().slowdown(40);
        StreamLog log = new StreamLog();
        AutoCloseable reading = client.start(request("a4", longAnswerPrompt(), 200), log);
        log.awaitPieces(1);
        reading.close();
        engine.faults().slowdown(1);
        AttemptId attempt = AttemptId.of("a4");
        StreamInfo info = answered(client.streams()).get(0);
        assertEquals(attempt, info.attempt());
        assertEquals(HostId.of("entry-1"), info.host());
        assertEquals(Incarnation.of(7), info.incarnation());
        assertTrue(info.kvTokens() > 0);
        assertTrue(answered(client.cancel(attempt)));
        assertTrue(answered(client.cancel(attempt)), "a repeated cancel succeeds too");
        assertEquals(List.of(), answered(client.streams()));
        assertEquals(0, engine.usedKvTokens());
    }

    @Test
    void reportsNotRunOnlyForAttemptsThatCannotHaveRun() throws Exception {
        Address unreachable = new Address("127.0.0.1", 1);
        EngineClient unreachableClient = protocol.connect(unreachable);
        StreamLog log = new StreamLog();
        unreachableClient.start(request("b1", PROMPT, 60), log);
        assertEquals(Ran.NO, ((StreamEvent.Failed) log.last()).ran());
        assertInstanceOf(
                CallResult.NotSent.class,
                unreachableClient.cancel(AttemptId.of("b1")).get(10, TimeUnit.SECONDS));
        StreamLog tooLarge = new StreamLog();
        client.start(sized("b2", 2_000_000), tooLarge);
        assertEquals(Ran.NO, ((StreamEvent.Failed) tooLarge.last()).ran());
        StreamLog unknown = new StreamLog();
        client.resume(AttemptId.of("never"), 0, unknown);
        assertEquals(Ran.UNKNOWN, ((StreamEvent.Failed) unknown.last()).ran());
    }

    /** The engine fails in the middle of a stream: the failure must not be reported as not run. */
    @Test
    void reportsUnknownWhenEngineFailsDuringStream() throws Exception {
        engine.faults().slowdown(40);
        StreamLog log = new StreamLog();
        client.start(request("b3", longAnswerPrompt(), 200), log);
        log.awaitPieces(1);
        engine.close();
        assertEquals(Ran.UNKNOWN, ((StreamEvent.Failed) log.last()).ran());
    }

    /** The same attempt is started twice, as after a lost answer: the second start must not be reported as not run. */
    @Test
    void reportsUnknownForDuplicateStart() throws Exception {
        engine.faults().slowdown(40);
        StreamLog log = new StreamLog();
        client.start(request("b4", longAnswerPrompt(), 200), log);
        log.awaitPieces(1);
        StreamLog duplicate = new StreamLog();
        client.start(request("b4", longAnswerPrompt(), 200), duplicate);
        assertEquals(Ran.UNKNOWN, ((StreamEvent.Failed) duplicate.last()).ran());
    }

    @Test
    void standInInjectsConfiguredPieceFaults() throws Exception {
        int count = AnswerText.of(MODEL, "", PROMPT, 60).pieceCount();
        engine.faults().pieces(PieceFault.DOUBLED);
        assertEquals(2 * count, piecesOf("c1").size());
        engine.faults().pieces(PieceFault.CROSSED);
        List<StreamEvent.Piece> crossed = piecesOf("c2");
        assertEquals(2 * count, crossed.size());
        assertEquals(
                count,
                crossed.stream()
                        .filter(p -> p.attempt().equals(AttemptId.of("c2")))
                        .count());
        engine.faults().pieces(PieceFault.MISSING);
        assertEquals(count - count / 5, piecesOf("c3").size());
    }

    /** A prompt split into segments: two engines hold one each, and one of them answers over both. */
    @Test
    void answersOverImportedSegments() throws Exception {
        try (EngineServer second = engine("engine-2").start()) {
            EngineClient other = protocol.connect(second.address());
            String head = "a".repeat(40_000);
            String middle = "b".repeat(40_000);
            String tail = "c".repeat(4_000);
            KvExport one = answered(client.exportKv(sized("s1", head, 10_000, List.of())));
            assertEquals(10_000, one.tokens());
            assertTrue(answered(other.importKv(one, client)));
            KvExport two = answered(other.exportKv(sized("s2", middle, 20_000, List.of("s1"))));
            assertTrue(answered(client.importKv(two, other)));
            StreamLog log = new StreamLog();
            client.start(sized("s3", tail, 21_000, List.of("s1", "s2")), log);
            assertInstanceOf(StreamEvent.End.class, log.last());
            assertEquals(AnswerText.of(MODEL, "", head + middle + tail, 20).text(), log.text());
            assertEquals(2, answered(client.exports()).size());
            for (EngineClient each : List.of(client, other)) {
                answered(each.freeKv("s1"));
                answered(each.freeKv("s2"));
            }
            await(() -> engine.openStreams() == 0);
            assertEquals(0, engine.usedKvTokens() + second.usedKvTokens());
        }
    }

    @Test
    void onlyEngineThatChecksFencingRejectsStaleNumber() throws Exception {
        assertEquals(OrderAnswer.ACCEPTED, answered(client.order(order(5, "2"), Duration.ofSeconds(1))));
        assertEquals(OrderAnswer.STALE_FENCING_NUMBER, answered(client.order(order(4, "1"), Duration.ofSeconds(1))));
        assertEquals("2", answered(client.state()).version());
        try (EngineServer unchecked = engine("engine-3").checksFencing(false).start()) {
            EngineClient other = protocol.connect(unchecked.address());
            assertEquals(OrderAnswer.ACCEPTED, answered(other.order(order(5, "2"), Duration.ofSeconds(1))));
            assertEquals(OrderAnswer.ACCEPTED, answered(other.order(order(4, "1"), Duration.ofSeconds(1))));
            assertEquals("1", answered(other.state()).version());
        }
    }

    @Test
    void publishesCacheEventsOfTheSharedBlockHashes() throws Exception {
        String prompt = "x".repeat(PromptBlocks.BLOCK_TOKENS * PromptBlocks.CHARACTERS_PER_TOKEN * 3);
        StreamLog log = new StreamLog();
        client.start(request("d1", prompt, 5), log);
        log.last();
        List<Long> hashes = PromptBlocks.blockHashes(MODEL.value(), "", prompt);
        await(() -> events().size() == hashes.size());
        assertEquals(hashes, events().stream().map(CacheEvents.Event::blockHash).toList());
        assertFalse(answered(client.setPriority(AttemptId.of("none"), 1)));
        assertEquals(0, answered(client.load()).streams());
    }

    private List<CacheEvents.Event> events() {
        return answered(client.cacheEvents(0)).events();
    }

    private List<StreamEvent.Piece> piecesOf(String attempt) throws InterruptedException {
        StreamLog log = new StreamLog();
        client.start(request(attempt, PROMPT, 60), log);
        log.last();
        return log.pieces();
    }

    private static EngineServer.Builder engine(String id) {
        return EngineServer.builder()
                .id(id)
                .model(MODEL.value())
                .timeScale(20)
                .retention(Duration.ofHours(1))
                .profile(EngineProfile.builder().capacityKvTokens(100_000).build());
    }

    private static String longAnswerPrompt() {
        for (int i = 0; ; i++) {
            String prompt = "season roster " + i;
            if (AnswerText.of(MODEL, "", prompt, 200).pieceCount() > 150) {
                return prompt;
            }
        }
    }

    private static EngineRequest request(String attempt, String prompt, int maxOutputTokens) {
        return request(attempt, prompt, maxOutputTokens, List.of(), List.of());
    }

    private static EngineRequest request(
            String attempt, String prompt, int maxOutputTokens, List<String> delivered, List<String> imports) {
        return new EngineRequest(
                AttemptId.of(attempt),
                HostId.of("entry-1"),
                Incarnation.of(7),
                MODEL,
                "",
                prompt,
                PromptBlocks.tokenCount(prompt),
                maxOutputTokens,
                0,
                delivered,
                imports);
    }

    private static EngineRequest sized(String attempt, int promptTokens) {
        return sized(attempt, "short text", promptTokens, List.of());
    }

    private static EngineRequest sized(String attempt, String prompt, int promptTokens, List<String> imports) {
        return new EngineRequest(
                AttemptId.of(attempt),
                HostId.of("entry-1"),
                Incarnation.of(7),
                MODEL,
                "",
                prompt,
                promptTokens,
                20,
                0,
                List.of(),
                imports);
    }

    private static EngineOrder order(long fencing, String version) {
        return new EngineOrder(FencingNumber.of(fencing), MODEL, version, List.of(), "");
    }

    private static List<String> concat(List<String> delivered, StreamLog log) {
        List<String> all = new java.util.ArrayList<>(delivered);
        log.pieces().forEach(piece -> all.add(piece.text()));
        return all;
    }

    private static <T> T answered(CompletableFuture<CallResult<T>> call) {
        CallResult<T> result = call.orTimeout(30, TimeUnit.SECONDS).join();
        if (result instanceof CallResult.Answered<T> answered) {
            return answered.value();
        }
        throw new AssertionError("no answer: " + result);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("condition not met in time");
            }
            Thread.sleep(5);
        }
    }
}
