package org.elmline.wire.codec;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.ClaimFinish;
import org.elmline.core.control.ClaimKey;
import org.elmline.core.control.ClaimOwner;
import org.elmline.core.control.HostRecord;
import org.elmline.core.control.LeaseRequest;
import org.elmline.core.control.RecordedAnswer;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.DispatchChannels;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationOrder;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationReading;
import org.elmline.core.quarantine.EvidenceReport;
import org.junit.jupiter.api.Test;
import org.msgpack.jackson.dataformat.MessagePackFactory;

import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Messages of another writer that lack a field which their receivers use without a check. */
class RequiredFieldsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper(new MessagePackFactory());

    private static void assertRequired(Class<?> type, Map<String, Object> sound, List<String> fields) throws Exception {
        assertInstanceOf(Decoded.Value.class, decode(sound, type));
        for (String each : fields) {
            Map<String, Object> message = new HashMap<>(sound);
            message.remove(each);
            assertInstanceOf(Decoded.Malformed.class, decode(message, type), type + " without " + each);
        }
    }

    private static Decoded<?> decode(Map<String, Object> message, Class<?> type) throws Exception {
        return Codecs.MESSAGE_PACK.decode(MAPPER.writeValueAsBytes(message), type);
    }

    /** Guards against a list of evacuations that gets no response, as the leader's reading has no evacuations. */
    @Test
    void confirmedReadingNeedsEvacuations() throws Exception {
        Map<String, Object> sound = Map.of("known", true, "evacuations", Map.of("version", 3));
        assertRequired(EvacuationReading.class, sound, List.of("evacuations"));
    }

    /** Guards against an order that ends every control host when it is applied, and again at each start. */
    @Test
    void orderOfEvacuationNeedsItsDomain() throws Exception {
        Map<String, Object> sound =
                Map.of("domain", "a", "evacuated", true, "expectedChange", 0, "acceptedBy", "10.0.0.1");
        assertRequired(EvacuationOrder.class, sound, List.of("domain"));
    }

    /** Guards against a claim that ends every control host when it is applied, and again at each start. */
    @Test
    void claimNeedsKeyDigestAndOwner() throws Exception {
        Map<String, Object> key = Map.of("organisation", "o", "key", "0-00000000-0000000000");
        Map<String, Object> owner = Map.of("host", "10.0.0.1", "incarnation", 3, "session", 1);
        Map<String, Object> begin = Map.of("key", key, "requestDigest", "d", "owner", owner);
        assertRequired(ClaimBegin.class, begin, List.of("key", "requestDigest", "owner"));
        assertRequired(ClaimFinish.class, Map.of("key", key, "owner", owner), List.of("key", "owner"));
        for (String each : List.of("organisation", "key")) {
            assertRequired(ClaimKey.class, key, List.of(each));
        }
        assertRequired(ClaimOwner.class, owner, List.of("host", "incarnation"));
    }

    /** Guards against a host that ends every control host when it joins, and again at each start. */
    @Test
    void hostNeedsItsFields() throws Exception {
        Map<String, Object> host = Map.of(
                "id",
                "10.0.0.1",
                "incarnation",
                3,
                "failureDomain",
                "a",
                "region",
                "r",
                "callers",
                "10.0.0.1:80",
                "peers",
                "10.0.0.1:81",
                "operators",
                "10.0.0.1:82");
        assertRequired(HostRecord.class, host, List.copyOf(host.keySet()));
        assertRequired(LeaseRequest.class, Map.of("host", host, "inForce", 1), List.of("host", "inForce"));
    }

    /** Guards against a dispatcher that fails for each call of a service, as one without an id waits there. */
    @Test
    void callNeedsIdsForItsDispatcher() throws Exception {
        Map<String, Object> call = Map.of("attempt", "a1", "host", "10.0.0.1", "failureDomain", "a", "service", "s");
        assertRequired(DispatchCall.class, call, List.copyOf(call.keySet()));
        assertRequired(DispatchChannels.Reports.class, Map.of("service", "s"), List.of("service"));
        Map<String, Object> adoption = Map.of("service", "s", "host", "10.0.0.1");
        assertRequired(DispatchChannels.Adoption.class, adoption, List.copyOf(adoption.keySet()));
    }

    /** Guards against a trial that is granted to no entry. */
    @Test
    void reportOfEvidenceNeedsItsEntry() throws Exception {
        assertRequired(EvidenceReport.class, Map.of("entry", "10.0.0.1"), List.of("entry"));
    }

    /** Guards against an answer that ends every control host when it is recorded, and again at each start. */
    @Test
    void headerOfRecordedAnswerNeedsNameAndValue() throws Exception {
        Map<String, Object> header = Map.of("name", "Location", "value", "/x");
        assertRequired(RecordedAnswer.Header.class, header, List.copyOf(header.keySet()));
    }

    /** Guards against an entry that fails for a call, as the granted place has no server. */
    @Test
    void grantNeedsItsServer() throws Exception {
        Map<String, Object> grant =
                Map.of("type", "granted", "attempt", "a1", "server", "r1", "address", "10.0.0.1:80");
        assertRequired(DispatchAnswer.class, grant, List.copyOf(grant.keySet()));
    }
}
