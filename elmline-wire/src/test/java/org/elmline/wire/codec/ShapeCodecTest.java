package org.elmline.wire.codec;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.ObjectMapper;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;
import org.elmline.core.common.ServiceName;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.RoutingDocument;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.ControlSnapshot;
import org.elmline.core.control.ControlState;
import org.elmline.core.control.Ticket;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.DispatchChannels.Acknowledgement;
import org.elmline.core.dispatch.DispatchChannels.Adoption;
import org.elmline.core.dispatch.DispatchChannels.QueuedDecision;
import org.elmline.core.dispatch.DispatchChannels.Reports;
import org.elmline.core.dispatch.Helper;
import org.elmline.core.dispatch.OpenGrant;
import org.elmline.core.dispatch.ServerRateLimit;
import org.elmline.core.dispatch.ServerRateLimits;
import org.elmline.core.dispatch.Shard;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationOrder;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationOutcome;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationQuery;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationReading;
import org.elmline.core.evacuation.EvacuationRecord;
import org.elmline.core.evacuation.Evacuations;
import org.elmline.core.raft.Entry;
import org.elmline.core.raft.EntryKind;
import org.elmline.core.raft.Membership;
import org.elmline.core.raft.Message;
import org.elmline.core.raft.ReplicaId;
import org.elmline.core.registry.ColdReport;
import org.elmline.core.registry.EntryRecord;
import org.elmline.core.registry.EntryUpdate;
import org.elmline.core.registry.FollowAnswer;
import org.elmline.core.registry.FollowRequest;
import org.elmline.core.registry.HeartbeatAge;
import org.elmline.core.registry.PackedRouting;
import org.elmline.core.registry.Registration;
import org.elmline.core.registry.RegistryChannels.RoutingQuery;
import org.elmline.core.registry.RegistryChannels.RoutingSubmission;
import org.elmline.core.registry.RegistryChannels.RoutingSubmitResult;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.core.registry.ServerState;
import org.elmline.core.registry.ServerUpdate;
import org.elmline.wire.shape.NameList;
import org.elmline.wire.shape.Shapes;
import org.elmline.wire.shape.Tolerance;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Data binding reads what shapes write and vice versa, so that either may be used at each end of a connection. */
class ShapeCodecTest {
    private static final HostId HOST = HostId.of("10.1.0.1");
    private static final ReplicaId REPLICA = new ReplicaId(HOST, -7);
    private static final FailureDomain DOMAIN = FailureDomain.of("a");
    private static final ServiceName SERVICE = ServiceName.of("s");
    private static final PackedRouting PACKED = PackedRouting.of(new RoutingText(true, 5, "{}"));

    @Property(tries = 200)
    void shapesAndDataBindingDecodeEachOther(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        for (Object each : messages(random)) {
            for (boolean json : List.of(false, true)) {
                Codec shapes = json ? Codecs.JSON : Codecs.MESSAGE_PACK;
                Codec binding = new JacksonCodec(
                        json ? Codecs.jsonMapper() : Codecs.lenient(new ObjectMapper(new MessagePackFactory())));
                Object decodedByBinding = value(binding.decode(shapes.encode(each), each.getClass()));
                Object decodedByShapes = value(shapes.decode(binding.encode(each), each.getClass()));
                assertArrayEquals(binding.encode(each), binding.encode(decodedByBinding));
                assertArrayEquals(shapes.encode(each), shapes.encode(decodedByShapes));
            }
        }
    }

    // A control host that restarts after a power loss answers no call before it has read its log and its peers'
    // messages. Data binding would take a third of that time, so none of these messages may need it.
    @Test
    void messagesOfAStartNeedNoDataBinding() {
        Shapes shapes = new Shapes(Tolerance.LENIENT);
        for (Object each : messages(new SplittableRandom(1))) {
            assertDoesNotThrow(() -> encode(shapes, each), each.getClass().getName());
        }
        for (Class<?> each : List.of(CommandResult.class, RoutingSubmitResult.class, Reports.class)) {
            assertDoesNotThrow(() -> shapes.of(each), each.getName());
        }
    }

    @Test
    void rejectsMalformedValuesAndIgnoresUnknownFields() {
        String[] malformed = {"{\"known\":1}", "{\"version\":\"1\"}", "[]", "", "{\"version\":1", "{\"text\":{}}"};
        for (String each : malformed) {
            assertInstanceOf(Decoded.Malformed.class, Codecs.JSON.decode(each.getBytes(), RoutingText.class), each);
        }
        String withUnknownField = "{\"known\":true,\"new\":{\"x\":[1]},\"version\":4,\"text\":\"t\"}";
        assertEquals(
                new RoutingText(true, 4, "t"),
                value(Codecs.JSON.decode(withUnknownField.getBytes(), RoutingText.class)));
    }

    /** Guards against messages of deployments without evacuations that earlier releases have never seen. */
    @Test
    void pollWithoutEvacuationsCarriesNoFieldOnThem() {
        FollowRequest request = new FollowRequest(HOST, null, 1, 2, 3, 4, 1, 500, false, 0);
        String written = new String(Codecs.JSON.encode(request), StandardCharsets.UTF_8);
        assertFalse(written.contains("evacuat"), written);
        assertEquals(request, value(Codecs.JSON.decode(written.getBytes(StandardCharsets.UTF_8), FollowRequest.class)));
    }

    /** Guards against a control host that cannot start from a snapshot that an earlier release has written. */
    @Test
    void snapshotOfEarlierReleaseIsReadWithoutEvacuations() {
        ControlState state = new ControlState();
        byte[] earlier = Codecs.MESSAGE_PACK.encode(state.snapshot());
        assertFalse(new String(earlier, StandardCharsets.ISO_8859_1).contains("evacuations"));
        ControlState restored = ControlState.restore(
                (ControlSnapshot) value(Codecs.MESSAGE_PACK.decode(earlier, ControlSnapshot.class)));
        assertEquals(Evacuations.NONE, restored.evacuations());
        restored.apply(1, new Command.SetEvacuation(DOMAIN, true, 0, 5, HOST));
        byte[] current = Codecs.MESSAGE_PACK.encode(restored.snapshot());
        ControlState again = ControlState.restore(
                (ControlSnapshot) value(Codecs.MESSAGE_PACK.decode(current, ControlSnapshot.class)));
        assertEquals(restored.evacuations(), again.evacuations());
    }

    @Test
    void namesAreReadFromListOrKeysOfObject() {
        for (Codec each : List.of(Codecs.STRICT_JSON, new JacksonCodec(Codecs.jsonMapper()))) {
            for (String json : List.of("[\"a\",\"b\"]", "{\"a\":{\"hosts\":[1]},\"b\":2}")) {
                assertEquals(
                        new NameList(List.of("a", "b")),
                        value(each.decode(json.getBytes(StandardCharsets.UTF_8), NameList.class)));
            }
            assertInstanceOf(Decoded.Malformed.class, each.decode("[1]".getBytes(), NameList.class));
            assertInstanceOf(Decoded.Malformed.class, each.decode("7".getBytes(), NameList.class));
        }
    }

    @Test
    void strictDecodingRejectsTrailingBytesAndAbsentNumbers() {
        Codec strict = new ShapeCodec(new JsonFactory(), Tolerance.STRICT, ObjectMapper::new);
        String document = "{\"known\":true,\"version\":4,\"text\":\"t\"}";
        assertInstanceOf(Decoded.Value.class, strict.decode(document.getBytes(), RoutingText.class));
        assertInstanceOf(
                Decoded.Malformed.class,
                Codecs.STRICT_JSON.decode((document + document).getBytes(), RoutingText.class));
        assertInstanceOf(
                Decoded.Malformed.class, Codecs.STRICT_JSON.decode("{\"known\":true}".getBytes(), RoutingText.class));
    }

    private static byte[] encode(Shapes shapes, Object value) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator to = new MessagePackFactory().createGenerator(bytes)) {
            shapes.of(value.getClass()).write(to, value);
        }
        return bytes.toByteArray();
    }

    private static Object value(Decoded<?> decoded) {
        return assertInstanceOf(Decoded.Value.class, decoded, decoded::toString).value();
    }

    private static List<Object> messages(SplittableRandom random) {
        List<Object> all = new ArrayList<>();
        all.addAll(registry(random));
        all.addAll(dispatch(random));
        all.addAll(raft(random));
        all.addAll(evacuation(random));
        Ticket ticket = new Ticket(
                TicketNumber.of(1 + random.nextInt(99)), "a", List.of(new RoutingDocument("{}" + text(random))));
        all.add(Command.ApplyTicket.of(ticket));
        return all;
    }

    private static List<Object> registry(SplittableRandom random) {
        EntryRecord entry = new EntryRecord(
                HOST,
                random.nextLong(),
                address(random),
                address(random),
                DOMAIN,
                Region.of("r"),
                random.nextBoolean(),
                false);
        Registration server = new Registration(
                BackendServerId.of("b" + random.nextInt(9)),
                SERVICE,
                address(random),
                DOMAIN,
                random.nextInt(),
                ServerState.values()[random.nextInt(ServerState.values().length)],
                random.nextLong(),
                random.nextLong(1 << random.nextInt(1, 30)),
                random.nextBoolean() ? null : new ColdReport(random.nextBoolean(), random.nextInt(1 << 30)));
        RoutingText text = new RoutingText(true, random.nextLong(), text(random));
        return List.of(
                new FollowRequest(
                        HOST,
                        random.nextBoolean() ? entry : null,
                        1,
                        2,
                        3,
                        random.nextLong(),
                        random.nextInt(2),
                        random.nextInt(900),
                        random.nextBoolean(),
                        0,
                        random.nextBoolean() ? null : random.nextLong(),
                        random.nextBoolean() ? null : random.nextInt()),
                new FollowAnswer(
                        random.nextLong(),
                        random.nextLong(),
                        List.of(new ServerUpdate(server, random.nextBoolean(), random.nextBoolean())),
                        5,
                        List.of(new HeartbeatAge(server.id(), 1, 2, random.nextLong())),
                        random.nextBoolean() ? null : List.of(entry, entry),
                        List.of(new EntryUpdate(entry, random.nextBoolean())),
                        6,
                        List.of(address(random)),
                        7,
                        random.nextBoolean() ? text : null,
                        random.nextBoolean() ? null : PACKED,
                        random.nextInt(900),
                        null,
                        random.nextBoolean() ? null : evacuations(random)),
                text,
                RoutingText.UNKNOWN,
                PACKED,
                new RoutingQuery(),
                new RoutingSubmission(random.nextLong(), text(random)));
    }

    private static List<Object> dispatch(SplittableRandom random) {
        DispatchCall call = new DispatchCall(
                text(random) + "x",
                HOST,
                random.nextLong(),
                DOMAIN,
                SERVICE,
                new Shard(random.nextInt(4), 4),
                random.nextInt(10),
                random.nextLong(),
                5,
                6,
                -random.nextInt(1000),
                250,
                8,
                9,
                random.nextBoolean(),
                List.of(BackendServerId.of("b")));
        DispatchAnswer.Granted granted = new DispatchAnswer.Granted(
                "a",
                BackendServerId.of("b"),
                address(random),
                List.of(new Helper(BackendServerId.of("c"), address(random), random.nextLong())),
                1,
                2,
                3,
                random.nextInt(),
                random.nextBoolean());
        return List.of(
                call,
                granted,
                new DispatchAnswer.Queued("a", random.nextInt()),
                new DispatchAnswer.Refused("a", DispatchAnswer.RefusalCause.TOO_LATE, random.nextLong()),
                new Reports(
                        SERVICE,
                        List.of(
                                new AttemptReport("a", null),
                                new AttemptReport(
                                        "b", AttemptEnd.DONE, ServerRateLimit.NONE, granted.server(), true, false))),
                new Adoption(
                        SERVICE,
                        new Shard(1, 2),
                        HOST,
                        4,
                        random.nextBoolean(),
                        List.of(new OpenGrant(call, granted, true)),
                        List.of(new ServerRateLimits.ReportedLimit(
                                granted.server(), ServerRateLimit.ofPerSecond(1.7)))),
                new QueuedDecision(HOST, granted),
                new Acknowledgement(random.nextBoolean()));
    }

    private static Evacuations evacuations(SplittableRandom random) {
        return new Evacuations(
                random.nextLong(),
                List.of(new EvacuationRecord(DOMAIN, random.nextBoolean(), 1, random.nextLong(), HOST)));
    }

    private static List<Object> evacuation(SplittableRandom random) {
        Evacuations evacuations = evacuations(random);
        return List.of(
                new EvacuationReading(random.nextBoolean(), evacuations),
                EvacuationReading.UNKNOWN,
                new EvacuationQuery(),
                new EvacuationOrder(DOMAIN, random.nextBoolean(), random.nextLong(), HOST),
                EvacuationOutcome.IN_FORCE,
                evacuations,
                new Command.SetEvacuation(DOMAIN, random.nextBoolean(), 3, random.nextLong(), HOST));
    }

    private static List<Object> raft(SplittableRandom random) {
        byte[] data = new byte[random.nextInt(50)];
        random.nextBytes(data);
        Membership members = Membership.ofVoters(List.of(REPLICA, new ReplicaId(HostId.of("h"), random.nextLong())));
        long randomLong = random.nextLong();
        return List.of(
                new Message.PreVoteRequest(REPLICA, REPLICA, randomLong, 1, 2),
                new Message.PreVoteResponse(REPLICA, REPLICA, 5, random.nextBoolean()),
                new Message.VoteRequest(REPLICA, REPLICA, 5, 1, randomLong, random.nextBoolean()),
                new Message.VoteResponse(REPLICA, REPLICA, 5, true),
                new Message.AppendRequest(
                        REPLICA, REPLICA, 5, 1, 2, List.of(new Entry(1, 2, EntryKind.COMMAND, data)), 3, randomLong),
                new Message.AppendResponse(REPLICA, REPLICA, 5, true, 1, 2, randomLong),
                new Message.Heartbeat(REPLICA, REPLICA, 5, 4, randomLong),
                new Message.HeartbeatResponse(REPLICA, REPLICA, 5, randomLong),
                new Message.SnapshotChunk(REPLICA, REPLICA, 5, 1, 2, members, 3, 4, data, randomLong),
                new Message.SnapshotResponse(REPLICA, REPLICA, 5, 1, 2, randomLong),
                new Message.TimeoutNow(REPLICA, REPLICA, randomLong));
    }

    private static Address address(SplittableRandom random) {
        return new Address("10.0.0." + random.nextInt(255), 1 + random.nextInt(60_000));
    }

    private static String text(SplittableRandom random) {
        return "täxt \"\u20ac\" ".repeat(random.nextInt(40));
    }
}
