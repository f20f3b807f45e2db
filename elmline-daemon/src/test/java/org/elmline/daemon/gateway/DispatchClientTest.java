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
    private final List<SentRequest> sentRequests = new ArrayList<>();
    private final ManualClock clock = new ManualClock();
    private final DecisionLog log = new DecisionLog("h", "entry", clock, OutputStream.nullOutputStream());
    private final Set<String> unresponsiveHosts = new HashSet<>();
    private Function<DispatchCall, DispatchAnswer> placeAnswer = call -> new DispatchAnswer.Queued(call.attempt(), 0);
    private List<BackendServerId> servers = List.of();
    private Collection<EntryRecord> entries = List.of(entry("10.0.0.2"), entry("10.0.0.3"));

    private record SentRequest(String host, Object request) {}

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
            sentRequests.add(new SentRequest(to.ip(), request));
            if (unresponsiveHosts.contains(to.ip())) {
                return CompletableFuture.completedFuture(new CallResult.Unknown<>("no answer in time"));
            }
            Object answer = channel == (Channel<?, ?>) DispatchChannels.PLACE
                    ? placeAnswer.apply((DispatchCall) request)
                    : new DispatchChannels.Acknowledgement(true);
            return CompletableFuture.completedFuture(
                    new CallResult.Answered<>(channel.response().cast(answer)));
        }
    }

    private DispatchService localDispatch;

    private DispatchClient client() {
        localDispatch =
                new DispatchService(HostId.of(SELF), new RetryLimit(0.2, 10, 10), clock, log, (host, answer) -> {});
        DispatcherDirectory directory = new DispatcherDirectory(() -> entries, service -> servers, clock);
        return new DispatchClient(settings(), 1, new ScriptedNetwork(), directory, localDispatch, thread, clock, log);
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
    void cancelsQueuedCallAtFormerDispatcherWhenQueuedAtNext() {
        List<EntryRecord> order = DispatcherChoice.order(WHOLE, entries);
        String former = order.get(0).host().value();
        DispatchClient client = client();
        client.place(call(), answer -> {});
        assertEquals(former, sentRequests.get(0).host());
        entries = List.of(order.get(1));
        thread.runLater();
        thread.runLater();
        assertTrue(
                sentRequests.stream()
                        .anyMatch(each -> each.host().equals(order.get(1).host().value())
                                && each.request() instanceof DispatchCall),
                "asked for at the next one");
        Reports cancellation = new Reports(DESK, List.of(new AttemptReport("a1", AttemptEnd.CANCELLED)));
        assertTrue(sentRequests.contains(new SentRequest(former, cancellation)), sentRequests.toString());
    }

    /** Guards against a new dispatcher that fills a server in need until it has heard of the need itself. */
    @Test
    void sendsServerLimitsToNewDispatcher() {
        List<EntryRecord> order = DispatcherChoice.order(WHOLE, entries);
        DispatchClient client = client();
        localDispatch.observedLimits().record(BackendServerId.of("s1"), ServerRateLimit.ofPerSecond(2), "answer");
        client.place(call(), answer -> {});
        entries = List.of(order.get(1));
        client.onDeploymentChanged();
        Adoption adoption = sentRequests.stream()
                .filter(each -> each.request() instanceof Adoption)
                .map(each -> (Adoption) each.request())
                .findFirst()
                .orElseThrow();
        assertEquals(
                List.of(new ServerRateLimits.ReportedLimit(BackendServerId.of("s1"), ServerRateLimit.ofPerSecond(2))),
                adoption.limits());
    }

    /**
     * A prompt waits a quarter of a second longer than it must, and may meanwhile be placed by a dispatcher that knows
     * nothing any more: its entry has learnt of a new one, and asks that only at its next turn.
     */
    @Test
    void repeatsRequestsOfWaitingCallsAtNewDispatcherAtOnce() {
        List<EntryRecord> order = DispatcherChoice.order(WHOLE, entries);
        DispatchClient client = client();
        client.place(call(), answer -> {});
        entries = List.of(order.get(1));
        client.onDeploymentChanged();
        assertEquals(
                1,
                sentRequests.stream()
                        .filter(each -> each.host().equals(order.get(1).host().value())
                                && each.request() instanceof DispatchCall)
                        .count());
    }

    /**
     * Dozens of questions stay silent for most of a second: the first dispatcher is frozen, and the one asked in its place
     * takes full engines for free. So it is told what runs, before it is asked, and of the ends of that later.
     */
    @Test
    void sendsOpenGrantsToSecondDispatcherBeforeFirstPlacement() {
        List<EntryRecord> order = DispatcherChoice.order(WHOLE, entries);
        String first = order.get(0).host().value();
        String second = order.get(1).host().value();
        DispatchClient client = client();
        placeAnswer = call -> new DispatchAnswer.Granted(
                call.attempt(), BackendServerId.of("s1"), new Address("10.0.1.1", 80), List.of(), 90, 900, 0, 0);
        DispatchCall running = call("running");
        client.place(running, answer -> {});
        unresponsiveHosts.add(first);
        client.place(call("next"), answer -> {});
        List<Object> requestsToSecond = requestsTo(second);
        Adoption adoption = (Adoption) requestsToSecond.get(0);
        assertTrue(adoption.all());
        assertEquals(
                List.of(running), adoption.open().stream().map(OpenGrant::call).toList());
        assertEquals(call("next").attempt(), ((DispatchCall) requestsToSecond.get(1)).attempt());
        client.reportEnd(running, AttemptEnd.DONE);
        thread.runLater();
        Reports endReport = new Reports(DESK, List.of(new AttemptReport("running", AttemptEnd.DONE)));
        assertTrue(requestsTo(second).contains(endReport), sentRequests.toString());
    }

    private List<Object> requestsTo(String host) {
        return sentRequests.stream()
                .filter(each -> each.host().equals(host))
                .map(SentRequest::request)
                .toList();
    }

    private void useManyServers() {
        servers = new ArrayList<>();
        for (int i = 0; i < 350; i++) {
            servers.add(BackendServerId.of("s" + i));
        }
        entries = new ArrayList<>();
        for (int i = 2; i < 40; i++) {
            entries.add(entry("10.0.0." + i));
        }
    }

    private List<String> hostsRequestedFor(String attempt) {
        return sentRequests.stream()
                .filter(each -> each.request() instanceof DispatchCall call
                        && call.attempt().equals(attempt))
                .map(SentRequest::host)
                .toList();
    }

    private String firstDispatcherOf(Shard shard) {
        return DispatcherChoice.first(new ServiceShard(DESK, shard), entries)
                .orElseThrow()
                .host()
                .value();
    }

    /** Guards against forty entries that place blindly as one is held up: another shard's dispatcher knows what runs there. */
    @Test
    void requestsAnotherShardWhenDispatcherDoesNotAnswer() {
        useManyServers();
        Set<String> firstDispatchers = new HashSet<>();
        Shard.forServerCount(350).forEach(each -> firstDispatchers.add(firstDispatcherOf(each)));
        placeAnswer = call -> new DispatchAnswer.Granted(
                call.attempt(), BackendServerId.of("s1"), new Address("10.0.1.1", 80), List.of(), 90, 900, 0, 0);
        DispatchClient client = client();
        for (int i = 0; i < 40; i++) {
            unresponsiveHosts.clear();
            unresponsiveHosts.add(List.copyOf(firstDispatchers).get(i % firstDispatchers.size()));
            clock.advance(Duration.ofSeconds(2));
            String attempt = "a" + i;
            List<DispatchAnswer> answers = new ArrayList<>();
            client.place(call(attempt), answers::add);
            assertEquals(1, answers.size());
            assertTrue(
                    firstDispatchers.containsAll(hostsRequestedFor(attempt)),
                    hostsRequestedFor(attempt) + " of " + firstDispatchers);
            client.reportEnd(call(attempt), AttemptEnd.DONE);
        }
    }

    /** Guards against a prompt that waits in one shard while engines are free in another. */
    @Test
    void waitingCallTriesSecondShardAndStaysQueuedThereOnly() {
        useManyServers();
        DispatchClient client = client();
        client.place(call("a1"), answer -> {});
        List<String> requestedHosts = hostsRequestedFor("a1");
        assertEquals(2, requestedHosts.size());
        thread.runLater();
        Reports cancellation = new Reports(DESK, List.of(new AttemptReport("a1", AttemptEnd.CANCELLED)));
        assertTrue(
                sentRequests.contains(new SentRequest(requestedHosts.get(0), cancellation)), sentRequests.toString());
    }

    /** Guards against engines that seem free as the shards were counted anew: each new dispatcher is told what runs on its. */
    @Test
    void sendsOpenGrantsToDispatchersOfNewShards() {
        useManyServers();
        List<BackendServerId> many = servers;
        servers = many.subList(0, 60);
        placeAnswer = call -> new DispatchAnswer.Granted(
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
        boolean received = sentRequests.stream()
                .filter(each -> each.host().equals(firstDispatcherOf(shard)) && each.request() instanceof Adoption)
                .map(each -> (Adoption) each.request())
                .anyMatch(each -> each.shard().equals(shard) && containsGrant(each, "running"));
        assertTrue(received, sentRequests.toString());
    }

    private static boolean containsGrant(Adoption adoption, String attempt) {
        return adoption.open().stream().anyMatch(each -> each.call().attempt().equals(attempt));
    }

    /** Guards against callers that are refused as one shard knows no server while another has places. */
    @Test
    void requestsAnotherShardWhenOneRefuses() {
        useManyServers();
        placeAnswer = call -> call.shard().index() % 2 == 0
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
    void doesNotRequestAnotherShardWhenRetryBudgetIsUsedUp() {
        useManyServers();
        placeAnswer = call -> new DispatchAnswer.Refused(call.attempt(), DispatchAnswer.RefusalCause.RETRY_BUDGET, 100);
        client().place(call("a1"), answer -> {});
        assertEquals(1, hostsRequestedFor("a1").size());
    }
}
