package org.elmline.wire.codec;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.elmline.core.dispatch.DispatchChannels.Adoption;
import org.elmline.core.dispatch.DispatchChannels.Reports;
import org.elmline.core.evacuation.EvacuationRecord;
import org.elmline.core.evacuation.Evacuations;
import org.elmline.core.quarantine.EvidenceReport;
import org.elmline.core.quarantine.QuarantineRecord;
import org.elmline.core.raft.Message;
import org.elmline.core.registry.FollowAnswer;
import org.elmline.core.registry.Registration;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;

/** Messages of another release, or another writer, of which some items can't be used. */
class UnusableItemsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private record Servers(List<Registration> servers) {}

    private record Records(List<QuarantineRecord> records) {}

    private static Map<String, Object> server(String id) {
        Map<String, Object> fields = new HashMap<>();
        fields.put("id", id);
        fields.put("service", "s");
        fields.put("address", "10.0.0.1:80");
        fields.put("failureDomain", "a");
        fields.put("places", 4);
        fields.put("state", "READY");
        fields.put("bornMillis", 5);
        fields.put("sequence", 7);
        return fields;
    }

    private static Map<String, Object> server(String field, Object value) {
        Map<String, Object> fields = server("odd");
        fields.put(field, value);
        return fields;
    }

    private static Object nested() {
        Object nested = List.of();
        for (int i = 0; i < 900; i++) {
            nested = List.of(nested);
        }
        return nested;
    }

    private static List<Object> oddServers() {
        List<Object> odd = new ArrayList<>(Arrays.asList(null, 7, "text", List.of(), Map.of(), nested(), true, 1.5));
        for (String address : List.of(
                "10.0.0.1:99999",
                "10.0.0.1:-1",
                "10.0.0.1:x",
                "10.0.0.1",
                "",
                ":80",
                "host:80",
                "a b:80",
                "[::1]:80",
                "10.0.0.256:80",
                "10.0.0:80",
                "10.0.0.1:80:80",
                "010.0.0.1:80",
                " 10.0.0.1:80",
                "10.0.0.1:99999999999999")) {
            odd.add(server("address", address));
        }
        odd.add(server("address", null));
        odd.add(server("address", List.of("10.0.0.1:80")));
        odd.add(server("places", new BigInteger("99999999999")));
        odd.add(server("places", 1.5));
        odd.add(server("places", "4"));
        odd.add(server("bornMillis", new BigInteger("18446744073709551615")));
        odd.add(server("bornMillis", Double.POSITIVE_INFINITY));
        odd.add(server("sequence", nested()));
        odd.add(server("state", "UNKNOWN"));
        odd.add(server("state", 7));
        odd.add(server("service", "a b"));
        odd.add(server("id", null));
        odd.add(server("cold", Map.of("stated", true, "millis", -1)));
        odd.add(server("cold", "warm"));
        return odd;
    }

    private static <T> T decode(Object message, Class<T> type) throws JsonProcessingException {
        Decoded<T> decoded = Codecs.MESSAGE_PACK.decode(MAPPER.writeValueAsBytes(message), type);
        return assertInstanceOf(Decoded.Value.class, decoded, () -> String.valueOf(message))
                        instanceof Decoded.Value<?> v
                ? type.cast(v.value())
                : null;
    }

    /** Guards against a control host that starts without servers, as one persisted server can't be used. */
    @Test
    void listOfServersSkipsUnusableOnes() throws Exception {
        for (Object odd : oddServers()) {
            List<Object> list = Arrays.asList(server("r1"), odd, server("r2"));
            List<Registration> read =
                    decode(Map.of("servers", list), Servers.class).servers();
            assertEquals(
                    List.of("r1", "r2"),
                    read.stream().map(each -> each.id().value()).toList(),
                    () -> "" + odd);
        }
    }

    /** Guards against a follower that drops each answer of a control host, as one of its servers can't be used. */
    @Test
    void answerToPollSkipsUnusableServers() throws Exception {
        for (Object odd : oddServers()) {
            Map<String, Object> update = new HashMap<>();
            update.put("registration", odd);
            List<Object> list =
                    Arrays.asList(Map.of("registration", server("r1")), update, Map.of("registration", server("r2")));
            FollowAnswer read = decode(Map.of("epoch", 9, "servers", list, "serversNow", 3), FollowAnswer.class);
            assertEquals(2, read.servers().size(), () -> "" + odd);
            assertEquals(3, read.serversNow());
        }
    }

    /** Guards against the loss of whole answers by entries, heartbeats or control hosts that can't be used. */
    @Test
    void answerToPollSkipsOtherUnusableItems() throws Exception {
        Map<String, Object> entry = new HashMap<>(Map.of(
                "host",
                "10.0.0.1",
                "incarnation",
                1,
                "callers",
                "10.0.0.1:80",
                "peers",
                "10.0.0.1:81",
                "failureDomain",
                "a",
                "region",
                "r",
                "serving",
                true));
        Map<String, Object> heartbeat = Map.of("id", "r1", "bornMillis", 5, "sequence", 7, "ageMillis", 20);
        for (String field : entry.keySet().stream()
                .filter(each -> !each.equals("incarnation"))
                .toList()) {
            Map<String, Object> odd = new HashMap<>(entry);
            odd.put(field, nested());
            Map<String, Object> message = Map.of(
                    "entries", List.of(entry, odd),
                    "entryNews", List.of(Map.of("entry", odd), Map.of(), Map.of("entry", entry)),
                    "heard", List.of(Map.of("ageMillis", 3), heartbeat),
                    "controls", Arrays.asList("10.0.0.7:99999", null, "10.0.0.8:90", 7));
            FollowAnswer read = decode(message, FollowAnswer.class);
            assertEquals(1, read.entries().size(), field);
            assertEquals(1, read.entryNews().size(), field);
            assertEquals(1, read.heard().size(), field);
            assertEquals("[10.0.0.8:90]", read.controls().toString(), field);
        }
    }

    /** Guards against a control host that can't start, as a persisted record of the quarantine lacks a field. */
    @Test
    void listOfQuarantineRecordsSkipsUnusableOnes() throws Exception {
        Map<String, Object> sound =
                Map.of("service", "s", "group", Map.of("parts", List.of()), "stage", "RELEASED", "reason", "UNUSED");
        for (String field : List.of("service", "group", "stage", "reason")) {
            Map<String, Object> odd = new HashMap<>(sound);
            odd.remove(field);
            assertEquals(
                    1,
                    decode(Map.of("records", List.of(odd, sound)), Records.class)
                            .records()
                            .size(),
                    field);
        }
    }

    /** Guards against an entry that drops each answer of a control host, as one of its evacuations can't be used. */
    @Test
    void evacuationsSkipUnusableRecords() throws Exception {
        List<Object> odd = new ArrayList<>(Arrays.asList(null, 7, "text", List.of(), Map.of(), nested()));
        for (Object value : Arrays.asList(null, "", "a b", "a".repeat(1_000_000), 7, nested())) {
            odd.add(evacuation("domain", value));
        }
        for (String field : List.of("evacuated", "change", "wallMillis", "acceptedBy")) {
            odd.add(evacuation(field, "a b"));
        }
        odd.add(evacuation("change", new BigInteger("18446744073709551615")));
        for (Object each : odd) {
            List<Object> records = Arrays.asList(evacuation("domain", "a"), each, evacuation("domain", "b"));
            Map<String, Object> message = Map.of("evacuation", Map.of("version", 9, "records", records));
            Evacuations read = decode(message, FollowAnswer.class).evacuation();
            assertEquals(9, read.version(), () -> "" + each);
            assertEquals(
                    "[a, b]",
                    read.records().stream()
                            .map(EvacuationRecord::domain)
                            .toList()
                            .toString());
        }
    }

    /** Guards against numbers of a record that overflow when its next revision or trial is computed. */
    @Test
    void quarantineRecordsWithNumbersOutOfRangeAreSkipped() throws Exception {
        Map<String, Object> sound =
                Map.of("service", "s", "group", Map.of("parts", List.of()), "stage", "RELEASED", "reason", "UNUSED");
        List<Object> records = new ArrayList<>(List.of(sound));
        for (Object each : List.of(Long.MIN_VALUE, -2, Long.MAX_VALUE, Long.MAX_VALUE / 1_000_000)) {
            for (String field : List.of("revision", "untilTrialMillis")) {
                Map<String, Object> odd = new HashMap<>(sound);
                odd.put(field, each);
                records.add(odd);
            }
        }
        for (String field : List.of("servers", "trials")) {
            Map<String, Object> odd = new HashMap<>(sound);
            odd.put(field, Integer.MIN_VALUE);
            records.add(odd);
        }
        assertEquals(
                1, decode(Map.of("records", records), Records.class).records().size());
    }

    private static Map<String, Object> evacuation(String field, Object value) {
        Map<String, Object> fields = new HashMap<>(
                Map.of("domain", "odd", "evacuated", true, "change", 3, "wallMillis", 5, "acceptedBy", "10.0.0.1"));
        fields.put(field, value);
        return fields;
    }

    /** Guards against an answer to a poll that is lost with its servers, as its routing document can't be used. */
    @Test
    void answerToPollSkipsUnusableDocument() throws Exception {
        List<Object> servers = List.of(Map.of("registration", server("r1")));
        List<Object> odd = List.of(Map.of("known", true, "version", 7), Map.of("known", 1), List.of(), nested(), 7);
        for (Object each : odd) {
            for (String field : List.of("routing", "packedRouting")) {
                Map<String, Object> message = Map.of("a", 1, field, each, "servers", servers, "serversNow", 3);
                FollowAnswer read = decode(message, FollowAnswer.class);
                assertNull(read.routing(), () -> field + each);
                assertEquals(1, read.servers().size(), () -> field + each);
                assertEquals(3, read.serversNow(), () -> field + each);
            }
        }
    }

    /** Guards against a report that is lost, and sent again in vain, as one of its items can't be used. */
    @Test
    void reportOfEvidenceSkipsUnusableItems() throws Exception {
        Map<String, Object> crash =
                Map.of("request", "q", "service", "s", "server", "r1", "parts", List.of("p"), "ageMillis", 3);
        Map<String, Object> pass = Map.of("service", "s", "part", "p", "ageMillis", 3);
        Map<String, Object> demand = Map.of("service", "s", "group", Map.of("parts", List.of("p")));
        List<Object> ages = List.of(-1, Long.MIN_VALUE, Long.MAX_VALUE, Long.MAX_VALUE / 1_000_000, "3");
        Map<String, Object> message = Map.of(
                "entry", "10.0.0.1",
                "crashes", withOdd(crash, List.of("request", "service", "server"), ages),
                "passes", withOdd(pass, List.of("service"), ages),
                "demands", withOdd(demand, List.of("service", "group"), List.of()));
        EvidenceReport read = decode(message, EvidenceReport.class);
        assertEquals(1, read.crashes().size());
        assertEquals(1, read.passes().size());
        assertEquals(1, read.demands().size());
    }

    /** A sound item between others that lack a field or have an odd age. */
    private static List<Object> withOdd(Map<String, Object> sound, List<String> required, List<Object> ages) {
        List<Object> items = new ArrayList<>(Arrays.asList(null, 7, List.of(), sound, nested()));
        for (String each : required) {
            Map<String, Object> odd = new HashMap<>(sound);
            odd.remove(each);
            items.add(odd);
        }
        for (Object each : ages) {
            Map<String, Object> odd = new HashMap<>(sound);
            odd.put("ageMillis", each);
            items.add(odd);
        }
        return items;
    }

    /** Guards against a control host that ends, as a message between replicas lacks its receiver or its entries. */
    @Test
    void messagesOfReplicasSkipUnusableOnes() throws Exception {
        Map<String, Object> addressed = Map.of("from", "a@1", "to", "b@2", "term", 3);
        Object sound = typed("vote", addressed);
        List<Object> odd = new ArrayList<>(Arrays.asList(null, 7, typed("other", addressed), nested()));
        for (String type : List.of("pre-vote", "vote", "append", "heartbeat", "snapshot", "stand")) {
            odd.add(typed(type, Map.of("from", "a@1", "term", 3)));
            odd.add(typed(type, Map.of("to", "b@2", "term", 3)));
        }
        for (String type : List.of("pre-vote", "vote", "append", "heartbeat", "snapshot")) {
            odd.add(typed(type + "-answer", Map.of("from", "a@1", "term", 3)));
            odd.add(typed(type + "-answer", Map.of("to", "b@2", "term", 3)));
        }
        odd.add(typed("snapshot", addressed));
        odd.add(typed("append", Map.of("from", "a@1", "to", "b@2", "entries", Arrays.asList(7, null))));
        for (Object each : odd) {
            Map<String, Object> message = Map.of("messages", Arrays.asList(sound, each, sound));
            assertEquals(2, decode(message, Messages.class).messages().size(), () -> "" + each);
        }
    }

    /** A message with its type in the first field, where every release writes it. */
    private static Map<String, Object> typed(String type, Map<String, Object> fields) {
        Map<String, Object> message = new LinkedHashMap<>();
        message.put("type", type);
        message.putAll(fields);
        return message;
    }

    private record Messages(List<Message> messages) {}

    /** Guards against places that stay taken, as the ends of calls are reported beside one that can't be used. */
    @Test
    void reportsToDispatcherSkipUnusableItems() throws Exception {
        List<Object> reports = withOdd(Map.of("attempt", "a1", "end", "DONE"), List.of("attempt"), List.of());
        assertEquals(
                1,
                decode(Map.of("service", "s", "reports", reports), Reports.class)
                        .reports()
                        .size());
        Map<String, Object> call = Map.of("attempt", "a1", "host", "10.0.0.1", "failureDomain", "a", "service", "s");
        Map<String, Object> granted =
                typed("granted", Map.of("attempt", "a1", "server", "r1", "address", "10.0.0.1:80"));
        Map<String, Object> message = Map.of(
                "service",
                "s",
                "host",
                "10.0.0.1",
                "open",
                withOdd(Map.of("call", call, "granted", granted), List.of("call", "granted"), List.of()),
                "limits",
                withOdd(Map.of("server", "r1"), List.of("server"), List.of()));
        Adoption read = decode(message, Adoption.class);
        assertEquals(1, read.open().size());
        assertEquals(1, read.limits().size());
    }
}
