package org.elmline.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonPointer;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.junit.jupiter.api.DynamicTest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestFactory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Table of invalid settings: each case changes valid settings and states every problem that must be reported. */
class SettingsProblemsTest {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Path FOLDER = Path.of("/etc/elmline");
    private static final int SCHEMA_CASES = 21;
    private static final int TIME_CASES = 6;
    private static final int ADDRESS_AND_HOST_CASES = 16;
    private static final String CONTROL_LIST =
            """
            [{'host':'c1','peers':'10.0.0.1:7070','failureDomain':'a'},
             {'host':'c2','peers':'10.0.0.2:7070','failureDomain':'b'},
             {'host':'c3','peers':'10.0.0.3:7070','failureDomain':'c'}]""";
    private static final String ENTRY =
            """
            {'role':'entry','host':'e1','region':'th-north','failureDomain':'a',
             'addresses':{'callers':'10.0.0.9:8080','operators':'10.0.0.9:8081','peers':'10.0.0.9:7070'},
             'control':%s,
             'keys':{'peerKey':'peer-key-0123456789','operatorKeys':['operator-key-0123456789'],
                     'backendKeys':['backend-key-0123456789']}}"""
                    .formatted(CONTROL_LIST);
    private static final String CONTROL =
            """
            {'role':'control','host':'c1','region':'th-north','failureDomain':'a','dataFolder':'data',
             'addresses':{'operators':'10.0.0.1:8081','peers':'10.0.0.1:7070'},
             'control':%s,
             'keys':{'peerKey':'peer-key-0123456789','operatorKeys':['operator-key-0123456789']}}"""
                    .formatted(CONTROL_LIST);
    private static final String ENGINE =
            """
            {'role':'standin-engine','id':'g1','region':'th-north','failureDomain':'a','address':'10.0.1.1:9000',
             'entries':['10.0.0.9:8080'],'backendKey':'backend-key-0123456789','model':'elm-small'}""";
    private static final String SERVICE =
            """
            {'role':'standin-service','id':'s1','region':'th-north','failureDomain':'a','address':'10.0.1.2:9000',
             'entries':['10.0.0.9:8080'],'backendKey':'backend-key-0123456789','service':'booking'}""";

    @TestFactory
    Stream<DynamicTest> schemaProblems() throws JsonProcessingException {
        List<Case> cases = new ArrayList<>();
        cases.add(entry("unknown key").set("/speed", "1").expect("/speed", "unknown key; known here are"));
        cases.add(entry("misspelt key")
                .set("/lease", "{'leasMillis':3000}")
                .expect("/lease/leasMillis", "did you mean 'leaseMillis'"));
        cases.add(entry("wrong case")
                .set("/lease", "{'leasemillis':3000}")
                .expect("/lease/leasemillis", "written 'leaseMillis'"));
        cases.add(entry("seconds for milliseconds")
                .set("/lease", "{'leaseSeconds':3}")
                .expect("/lease/leaseSeconds", "wrong unit; give it as 'leaseMillis', in milliseconds"));
        cases.add(entry("no unit")
                .set("/lease", "{'renew':1000}")
                .expect("/lease/renew", "'renewMillis', in milliseconds"));
        cases.add(entry("milliseconds for seconds")
                .set("/callers", "{'keepMillis':30000}")
                .expect("/callers/keepMillis", "'keepSeconds', in seconds"));
        cases.add(entry("megabytes for bytes")
                .set("/limits", "{'maxBodyMb':64}")
                .expect("/limits/maxBodyMb", "'maxBodyBytes', in bytes"));
        cases.add(entry("limit of zero")
                .set("/limits", "{'maxConnections':0}")
                .expect("/limits/maxConnections", "minimum value of 1"));
        cases.add(entry("text for a number")
                .set("/lease", "{'leaseMillis':'3s'}")
                .expect("/lease/leaseMillis", "integer expected"));
        cases.add(entry("share above one")
                .set("/placement", "{'maxLongShare':1.5}")
                .expect("/placement/maxLongShare", "maximum value of 0.99"));
        cases.add(entry("host missing").remove("/host").expect("/host", "missing"));
        cases.add(entry("host with a space").set("/host", "'e 1'").expect("/host", "1 to 128 letters"));
        cases.add(entry("host name for an IP")
                .set("/addresses/peers", "'e1.local:7070'")
                .expect("/addresses/peers", "IP:port"));
        cases.add(entry("no control hosts").set("/control", "[]").expect("/control", "at least 1"));
        cases.add(entry("short key").set("/keys/peerKey", "'short'").expect("/keys/peerKey", "at least 16"));
        cases.add(
                entry("unknown log level").set("/log", "{'level':'LOUD'}").expect("/log/level", "least severe level"));
        cases.add(entry("data folder on an entry").set("/dataFolder", "'data'").expect("/dataFolder", "unknown key"));
        cases.add(control("data folder missing").remove("/dataFolder").expect("/dataFolder", "missing"));
        cases.add(control("callers' address on control")
                .set("/addresses/callers", "'10.0.0.1:8080'")
                .expect("/addresses/callers", "unknown key"));
        cases.add(engine("model missing").remove("/model").expect("/model", "missing"));
        cases.add(service("text for the address").set("/address", "9000").expect("/address", "string expected"));
        assertEquals(SCHEMA_CASES, cases.size());
        return cases.stream().map(Case::test);
    }

    @TestFactory
    Stream<DynamicTest> timeProblems() throws JsonProcessingException {
        List<Case> cases = new ArrayList<>();
        cases.add(entry("lease not longer than renewal")
                .set("/lease", "{'leaseMillis':1000,'renewMillis':1000}")
                .expect("/lease/renewMillis", "less than /lease/leaseMillis, which is 1000"));
        cases.add(entry("lease under the default renewal")
                .set("/lease", "{'leaseMillis':900}")
                .expect("/lease/renewMillis", "1000 must be less"));
        cases.add(control("election not shorter than lease")
                .set("/raft", "{'electionMillis':3000}")
                .expect("/raft/electionMillis", "every lease ends"));
        cases.add(control("heartbeat not shorter than election")
                .set("/raft", "{'heartbeatMillis':1000}")
                .expect("/raft/heartbeatMillis", "a live leader is voted out"));
        cases.add(entry("backend lease under announcements")
                .set("/backend", "{'leaseMillis':500}")
                .expect("/backend/announceMillis", "taken for lost"));
        cases.add(entry("default timeout over the longest")
                .set("/callers", "{'defaultTimeoutMillis':5000,'maxTimeoutMillis':4000}")
                .expect("/callers/defaultTimeoutMillis", "not be more than"));
        assertEquals(TIME_CASES, cases.size());
        return cases.stream().map(Case::test);
    }

    @TestFactory
    Stream<DynamicTest> addressAndHostProblems() throws JsonProcessingException {
        List<Case> cases = new ArrayList<>();
        cases.add(entry("address used twice")
                .set("/addresses/operators", "'10.0.0.9:8080'")
                .expect("/addresses/operators", "also used by /addresses/callers"));
        cases.add(entry("octet out of range")
                .set("/addresses/peers", "'10.0.0.900:7070'")
                .expect("/addresses/peers", "out of range"));
        cases.add(entry("port out of range")
                .set("/addresses/peers", "'10.0.0.9:70700'")
                .expect("/addresses/peers", "out of range"));
        cases.add(entry("port 0 of a control host")
                .set("/control/0/peers", "'10.0.0.1:0'")
                .expect("/control/0/peers", "can't be connected to"));
        cases.add(entry("control address used twice")
                .set("/control/1/peers", "'10.0.0.1:7070'")
                .expect("/control/1/peers", "also used by /control/0/peers"));
        cases.add(entry("control host named twice")
                .set("/control/1/host", "'c1'")
                .expect("/control/1/host", "named twice"));
        cases.add(entry("two control hosts")
                .remove("/control/2")
                .expect("/control", "odd number")
                .expect("/control", "domain a")
                .expect("/control", "domain b"));
        cases.add(entry("majority in one failure domain")
                .set("/control/1/failureDomain", "'a'")
                .expect("/control", "losing failure domain a would leave 1 of 3"));
        cases.add(control("own failure domain differs")
                .set("/failureDomain", "'b'")
                .expect("/control/0/failureDomain", "same host"));
        cases.add(control("own address differs")
                .set("/addresses/peers", "'10.0.0.1:7071'")
                .expect("/control/0/peers", "must be 10.0.0.1:7071"));
        cases.add(entry("operator key opens the backend door")
                .set("/keys/backendKeys", "['operator-key-0123456789']")
                .expect("/keys/backendKeys/0", "the same key as /keys/operatorKeys/0"));
        cases.add(entry("key file missing")
                .set("/keys/peerKey", "{'file':'no-such.key'}")
                .expect("/keys/peerKey", "/etc/elmline/no-such.key cannot be read"));
        cases.add(entry("unregistered policy")
                .set("/placement", "{'policy':'best'}")
                .expect("/placement/policy", "no policy best is registered; there are "));
        cases.add(engine("entry named twice")
                .set("/entries", "['10.0.0.9:8080','10.0.0.9:8080']")
                .expect("/entries/1", "also used by /entries/0"));
        cases.add(
                engine("port out of range").set("/address", "'10.0.1.1:99999'").expect("/address", "out of range"));
        cases.add(entry("several at once")
                .set("/speed", "1")
                .set("/lease", "{'leaseSeconds':3,'renewMillis':4000}")
                .set("/addresses/operators", "'10.0.0.9:8080'")
                .expect("/addresses/operators", "also used by")
                .expect("/lease/leaseSeconds", "wrong unit")
                .expect("/lease/renewMillis", "4000 must be less")
                .expect("/speed", "unknown key"));
        assertEquals(ADDRESS_AND_HOST_CASES, cases.size());
        return cases.stream().map(Case::test);
    }

    @TestFactory
    Stream<DynamicTest> textProblems() {
        return Stream.of(
                        "",
                        "[]",
                        "{\"role\":\"entry\"",
                        "{\"role\":\"boss\"}",
                        "{\"role\":1}",
                        "{\"a\":1,\"a\":2}",
                        "{} {}")
                .map(text -> DynamicTest.dynamicTest(
                        "'" + text + "'",
                        () -> assertEquals(1, problems(text).size(), () -> "one problem in " + problems(text))));
    }

    @Test
    void readsValidSettings() throws JsonProcessingException {
        EntrySettings entry = assertInstanceOf(EntrySettings.class, valid(ENTRY));
        assertEquals(EntryLeaseSettings.DEFAULT, entry.lease());
        assertEquals(3, entry.control().size());
        assertEquals("10.0.0.9:8081", entry.addresses().operators().toString());
        ControlSettings control = assertInstanceOf(ControlSettings.class, valid(CONTROL));
        assertEquals(FOLDER.resolve("data"), control.dataFolder());
        assertInstanceOf(StandinEngineSettings.class, valid(ENGINE));
        assertInstanceOf(StandinServiceSettings.class, valid(SERVICE));
    }

    @Test
    void textFormHidesKeys() throws JsonProcessingException {
        assertTrue(!valid(ENTRY).toString().contains("0123456789"));
    }

    private static Settings valid(String json) throws JsonProcessingException {
        SettingsResult result = new SettingsReader(KeyFileMode.READ).read(json.replace('\'', '"'), FOLDER);
        return assertInstanceOf(SettingsResult.Valid.class, result, result::toString)
                .settings();
    }

    private static List<SettingsProblem> problems(String json) {
        SettingsResult result = new SettingsReader(KeyFileMode.READ).read(json, FOLDER);
        return assertInstanceOf(SettingsResult.Invalid.class, result).problems();
    }

    private static Case entry(String name) throws JsonProcessingException {
        return new Case("entry: " + name, ENTRY);
    }

    private static Case control(String name) throws JsonProcessingException {
        return new Case("control: " + name, CONTROL);
    }

    private static Case engine(String name) throws JsonProcessingException {
        return new Case("engine: " + name, ENGINE);
    }

    private static Case service(String name) throws JsonProcessingException {
        return new Case("service: " + name, SERVICE);
    }

    private static JsonNode json(String quoted) throws JsonProcessingException {
        return MAPPER.readTree(quoted.replace('\'', '"'));
    }

    /** Valid settings, the changes that make them invalid, and every expected problem in the order of paths. */
    private static final class Case {
        private final String name;
        private final JsonNode settings;
        private final List<SettingsProblem> expected = new ArrayList<>();

        Case(String name, String base) throws JsonProcessingException {
            this.name = name;
            this.settings = json(base);
        }

        Case set(String path, String value) throws JsonProcessingException {
            JsonPointer pointer = JsonPointer.compile(path);
            ((ObjectNode) settings.at(pointer.head())).set(pointer.last().getMatchingProperty(), json(value));
            return this;
        }

        Case remove(String path) {
            JsonPointer pointer = JsonPointer.compile(path);
            if (settings.at(pointer.head()) instanceof ArrayNode list) {
                list.remove(pointer.last().getMatchingIndex());
            } else {
                ((ObjectNode) settings.at(pointer.head())).remove(pointer.last().getMatchingProperty());
            }
            return this;
        }

        Case expect(String path, String fragment) {
            expected.add(new SettingsProblem(path, fragment));
            return this;
        }

        DynamicTest test() {
            return DynamicTest.dynamicTest(name, () -> {
                List<SettingsProblem> found = problems(settings.toString());
                assertEquals(expected.size(), found.size(), found::toString);
                for (int i = 0; i < expected.size(); i++) {
                    assertEquals(expected.get(i).path(), found.get(i).path(), found::toString);
                    String fragment = expected.get(i).message();
                    assertTrue(found.get(i).message().contains(fragment), found::toString);
                }
            });
        }
    }
}
