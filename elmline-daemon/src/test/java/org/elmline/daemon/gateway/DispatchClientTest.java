package org.elmline.daemon.gateway;

import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ManualClock;
import org.elmline.core.common.Region;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.DispatchChannels;
import org.elmline.core.dispatch.DispatchChannels.Adoption;
import org.elmline.core.dispatch.DispatchChannels.Reports;
import org.elmline.core.dispatch.DispatcherChoice;
import org.elmline.core.dispatch.OpenGrant;
import org.elmline.core.dispatch.RetryLimit;
import org.elmline.core.dispatch.ServerRateLimit;
import org.elmline.core.dispatch.ServerRateLimits;
import org.elmline.core.dispatch.ServiceShard;
import org.elmline.core.dispatch.Shard;
import org.elmline.core.peer.Channel;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.registry.EntryRecord;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.node.NodeSettings;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Which dispatchers an entry asks, and which it tells to forget; without a network. */
class DispatchClientTest {
    private static final ServiceName DESK = ServiceName.of("desk");
    private static final ServiceShard WHOLE = new ServiceShard(DESK, Shard.WHOLE);
    private static final String SELF = "10.0.0.1";

    private final ManualThread thread = new ManualThread();
    private final List<Sent> sent = new ArrayList<>();
    private final ManualClock clock = new ManualClock();
    private final DecisionLog log = new DecisionLog("h", "entry", clock, OutputStream.nullOutputStream());
    private final Set<String> silent = new HashSet<>();
    private Function<DispatchCall, DispatchAnswer> places = call -> new DispatchAnswer.Queued(call.attempt(), 0);
    private List<BackendServerId> servers = List.of();
    private Collection<EntryRecord> entries = List.of(entry("10.0.0.2"), entry("10.0.0.3"));

    private record Sent(String host, Object request) {}

    private static EntryRecord entry(String ip) {
        return new EntryRecord(
                HostId.of(ip),
                1,
                new Address(ip, 80),
                new Address(ip, 7000),
                FailureDomain.of("a"),
                Region.of("r"),
                true);
    }

    private static NodeSettings settings() {
        String json = "{\"name\":\"e\",\"ip\":\"" + SELF + "\",\"region\":\"r\",\"failureDomain\":\"a\",\"callers\":\""
                + SELF + ":80\",\"ready\":\"" + SELF + ":81\",\"peerPort\":7000,\"peerKey\":\"sixteen-characters\","
                + "\"controlHosts\":[\"10.0.0.9:82\"]}";
        NodeSettings.ParseResult read = NodeSettings.read(json.getBytes(StandardCharsets.UTF_8));
        return ((NodeSettings.ParseResult.Valid) read).settings();
    }

    /** Answers requests for a place as the test says, and keeps what was sent. */
    private final class ScriptedNetwork implements PeerNetwork {
        @Override
        public <Q, R> CompletableFuture<CallResult<R>> call(
                Address to, Channel<Q, R> channel, Q request, Duration timeout) {
            sent.add(new Sent(to.ip(), request));
            if (silent.contains(to.ip())) {
                return CompletableFuture.completedFuture(new CallResult.Unknown<>("no answer in time"));
            }
            Object answer = channel == (Channel<?, ?>) DispatchChannels.PLACE
                    ? places.apply((DispatchCall) request)
                    : new DispatchChannels.Acknowledgement(true);
            return CompletableFuture.completedFuture(
                    new CallResult.Answered<>(channel.response().cast(answer)));
        }
    }

    private DispatchService own;

    private DispatchClient client() {
        own = new DispatchService(HostId.of(SELF), new RetryLimit(0.2, 10, 10), clock, log, (host, answer) -> {});
        DispatcherDirectory directory = new DispatcherDirectory(() -> entries, service -> servers, clock);
        return new DispatchClient(settings(), 1, new ScriptedNetwork(), directory, own, thread, clock, log);
    }

    private static DispatchCall call() {
        return call("a1");
    }

    private static DispatchCall call(String attempt) {
        return new DispatchCall(
                attempt,
                HostId.of(SELF),
                1,
                FailureDomain.of("a"),
                DESK,
                Shard.WHOLE,
                1,
                256_000,
                800,
                800,
                3_000,
                800,
                12_000,
                15_000,
                false,
                List.of());
    }

    /**
     * Dozens of answers stall for a third of a second: a long prompt waits at a dispatcher that stops, is asked for at the
     * next one and waits there too. The old one, which has been told to forget all that runs, takes every engine for free
     * and places the prompt on those in use. So it must forget the prompt as soon as that waits elsewhere.
     */
    @Test
    void aCallWaitsAtOneDispatcherOnly() {
        List<EntryRecord> order = DispatcherChoice.order(WHOLE, entries);
        String old = order.get(0).host().value();
        DispatchClient client = client();
        client.place(call(), answer -> {});
        assertEquals(old, sent.get(0).host());
        entries = List.of(order.get(1));
        thread.runLater();
        thread.runLater();
        assertTrue(
                sent.stream()
                        .anyMatch(each -> each.host().equals(order.get(1).host().value())
                                && each.request() instanceof DispatchCall),
                "asked for at the next one");
        Reports forget = new Reports(DESK, List.of(new AttemptReport("a1", AttemptEnd.CANCELLED)));
        assertTrue(sent.contains(new Sent(old, forget)), sent.toString());
    }

    /** Guards against a new dispatcher that fills a server in need until it has heard of the need itself. */
    @Test
    void aNewDispatcherIsToldTheLimitsThatServersName() {
        List<EntryRecord> order = DispatcherChoice.order(WHOLE, entries);
        DispatchClient client = client();
        own.observedLimits().record(BackendServerId.of("s1"), ServerRateLimit.ofPerSecond(2), "answer");
        client.place(call(), answer -> {});
        entries = List.of(order.get(1));
        client.onDeploymentChanged();
        Adoption told = sent.stream()
                .filter(each -> each.request() instanceof Adoption)
                .map(each -> (Adoption) each.request())
                .findFirst()
                .orElseThrow();
        assertEquals(
                List.of(new ServerRateLimits.ReportedLimit(BackendServerId.of("s1"), ServerRateLimit.ofPerSecond(2))),
                told.limits());
    }

    /**
     * A prompt waits a quarter of a second longer than it must, and may meanwhile be placed by a dispatcher that knows
     * nothing any more: its entry has learnt of a new one, and asks that only at its next turn.
     */
    @Test
    void whatWaitsIsAskedForAtANewDispatcherAtOnce() {
        List<EntryRecord> order = DispatcherChoice.order(WHOLE, entries);
        DispatchClient client = client();
        client.place(call(), answer -> {});
        entries = List.of(order.get(1));
        client.onDeploymentChanged();
        assertEquals(
                1,
                sent.stream()
                        .filter(each -> each.host().equals(order.get(1).host().value())
                                && each.request() instanceof DispatchCall)
                        .count());
    }

    /**
     * Dozens of questions stay silent for most of a second: the first dispatcher is frozen, and the one asked in its place
     * takes full engines for free. So it is told what runs, before it is asked, and of the ends of that later.
     */
    @Test
    void aSecondDispatcherIsToldWhatRunsBeforeItIsAsked() {
        List<EntryRecord> order = DispatcherChoice.order(WHOLE, entries);
        String first = order.get(0).host().value();
        String second = order.get(1).host().value();
        DispatchClient client = client();
        places = call -> new DispatchAnswer.Granted(
                call.attempt(), BackendServerId.of("s1"), new Address("10.0.1.1", 80), List.of(), 90, 900, 0, 0);
        DispatchCall running = call("running");
        client.place(running, answer -> {});
        silent.add(first);
        client.place(call("next"), answer -> {});
        List<Object> toSecond = requestsTo(second);
        Adoption told = (Adoption) toSecond.get(0);
        assertTrue(told.all());
        assertEquals(List.of(running), told.open().stream().map(OpenGrant::call).toList());
        assertEquals(call("next").attempt(), ((DispatchCall) toSecond.get(1)).attempt());
        client.reportEnd(running, AttemptEnd.DONE);
        thread.runLater();
        Reports ended = new Reports(DESK, List.of(new AttemptReport("running", AttemptEnd.DONE)));
        assertTrue(requestsTo(second).contains(ended), sent.toString());
    }

    private List<Object> requestsTo(String host) {
        return sent.stream()
                .filter(each -> each.host().equals(host))
                .map(Sent::request)
                .toList();
    }

    private void manyServers() {
        servers = new ArrayList<>();
        for (int i = 0; i < 350; i++) {
            servers.add(BackendServerId.of("s" + i));
        }
        entries = new ArrayList<>();
        for (int i = 2; i < 40; i++) {
            entries.add(entry("10.0.0." + i));
        }
    }

    private List<String> askedFor(String attempt) {
        return sent.stream()
                .filter(each -> each.request() instanceof DispatchCall call
                        && call.attempt().equals(attempt))
                .map(Sent::host)
                .toList();
    }

    private String firstOf(Shard shard) {
        return DispatcherChoice.first(new ServiceShard(DESK, shard), entries)
                .orElseThrow()
                .host()
                .value();
    }

    /** Guards against forty entries that place blindly as one is held up: another shard's dispatcher knows what runs there. */
    @Test
    void whereADispatcherIsSilentAnotherShardIsAsked() {
        manyServers();
        Set<String> firsts = new HashSet<>();
        Shard.forServerCount(350).forEach(each -> firsts.add(firstOf(each)));
        places = call -> new DispatchAnswer.Granted(
                call.attempt(), BackendServerId.of("s1"), new Address("10.0.1.1", 80), List.of(), 90, 900, 0, 0);
        DispatchClient client = client();
        for (int i = 0; i < 40; i++) {
            silent.clear();
            silent.add(List.copyOf(firsts).get(i % firsts.size()));
            clock.advance(Duration.ofSeconds(2));
            String attempt = "a" + i;
            List<DispatchAnswer> answers = new ArrayList<>();
            client.place(call(attempt), answers::add);
            assertEquals(1, answers.size());
            assertTrue(firsts.containsAll(askedFor(attempt)), askedFor(attempt) + " of " + firsts);
            client.reportEnd(call(attempt), AttemptEnd.DONE);
        }
    }

    /** Guards against a prompt that waits in one shard while engines are free in another. */
    @Test
    void aCallThatMustWaitIsAskedForAtASecondShardAndWaitsThereOnly() {
        manyServers();
        DispatchClient client = client();
        client.place(call("a1"), answer -> {});
        List<String> asked = askedFor("a1");
        assertEquals(2, asked.size());
        thread.runLater();
        Reports forget = new Reports(DESK, List.of(new AttemptReport("a1", AttemptEnd.CANCELLED)));
        assertTrue(sent.contains(new Sent(asked.get(0), forget)), sent.toString());
    }

    /** Guards against engines that seem free as the shards were counted anew: each new dispatcher is told what runs on its. */
    @Test
    void newShardsAreToldWhatRunsOnTheirServers() {
        manyServers();
        List<BackendServerId> many = servers;
        servers = many.subList(0, 60);
        places = call -> new DispatchAnswer.Granted(
                call.attempt(), BackendServerId.of("s1"), new Address("10.0.1.1", 80), List.of(), 90, 900, 0, 0);
        DispatchClient client = client();
        client.place(call("running"), answer -> {});
        servers = many;
        client.place(call("next"), answer -> {});
        client.onDeploymentChanged();
        Shard shard = Shard.forServerCount(350).stream()
                .filter(each -> each.contains(BackendServerId.of("s1")))
                .findFirst()
                .orElseThrow();
        boolean told = sent.stream()
                .filter(each -> each.host().equals(firstOf(shard)) && each.request() instanceof Adoption)
                .map(each -> (Adoption) each.request())
                .anyMatch(each -> each.shard().equals(shard) && tellsOf(each, "running"));
        assertTrue(told, sent.toString());
    }

    private static boolean tellsOf(Adoption adoption, String attempt) {
        return adoption.open().stream().anyMatch(each -> each.call().attempt().equals(attempt));
    }

    /** Guards against callers that are refused as one shard knows no server while another has places. */
    @Test
    void whereAShardRefusesAnotherIsAsked() {
        manyServers();
        places = call -> call.shard().index() % 2 == 0
                ? new DispatchAnswer.Refused(call.attempt(), DispatchAnswer.RefusalCause.NO_SERVER, 100)
                : new DispatchAnswer.Granted(
                        call.attempt(),
                        BackendServerId.of("s1"),
                        new Address("10.0.1.1", 80),
                        List.of(),
                        90,
                        900,
                        0,
                        0);
        DispatchClient client = client();
        int granted = 0;
        for (int i = 0; i < 40; i++) {
            List<DispatchAnswer> answers = new ArrayList<>();
            client.place(call("a" + i), answers::add);
            assertEquals(1, answers.size(), "one answer, at once");
            granted += answers.get(0) instanceof DispatchAnswer.Granted ? 1 : 0;
        }
        assertTrue(granted > 25, granted + " of 40; by the first shard's word alone some 20");
    }

    /** Guards against a budget of retries that is drawn on once for each shard. */
    @Test
    void aRefusedRetryIsNotAskedForElsewhere() {
        manyServers();
        places = call -> new DispatchAnswer.Refused(call.attempt(), DispatchAnswer.RefusalCause.RETRY_BUDGET, 100);
        client().place(call("a1"), answer -> {});
        assertEquals(1, askedFor("a1").size());
    }
}
