package org.elmline.cli.examples;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.ConfigObject;
import org.elmline.core.config.Model;
import org.elmline.core.config.Organisation;
import org.elmline.core.config.Service;
import org.elmline.core.control.Ticket;
import org.elmline.daemon.http.BearerKey;
import org.elmline.daemon.settings.ControlHost;
import org.elmline.daemon.settings.ControlSettings;
import org.elmline.daemon.settings.EntrySettings;
import org.elmline.daemon.settings.KeyFileMode;
import org.elmline.daemon.settings.ListenAddress;
import org.elmline.daemon.settings.Settings;
import org.elmline.daemon.settings.SettingsReader;
import org.elmline.daemon.settings.SettingsResult;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Loads every file of the two example deployments and checks hosts, addresses, tickets and keys. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    @ParameterizedTest
    @CsvSource({"snowpaw,th-north,chiangmai-a chiangmai-b lampang-c", "zrno,si-central,lj-a lj-b lj-c"})
    void deploymentHasEighteenEntriesInThreeFailureDomains(String deployment, String region, String domains)
            throws IOException {
        List<EntrySettings> entries = load(deployment, "entry", EntrySettings.class);
        Map<String, Integer> hostsByDomain = new TreeMap<>();
        Set<Object> names = new HashSet<>();
        for (EntrySettings entry : entries) {
            hostsByDomain.merge(entry.failureDomain().value(), 1, Integer::sum);
            names.add(entry.host());
            assertEquals(region, entry.region().value());
            assertEquals(entries.get(0).control(), entry.control());
            assertEquals(entries.get(0).placement(), entry.placement());
        }
        assertEquals(18, names.size());
        assertEquals(String.join(" ", hostsByDomain.keySet()), domains);
        assertEquals(Set.of(6), Set.copyOf(hostsByDomain.values()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"snowpaw", "zrno"})
    void everyEntryListsTheFiveControlHosts(String deployment) throws IOException {
        Set<ControlHost> running = new HashSet<>();
        Map<String, Integer> hostsByDomain = new HashMap<>();
        for (ControlSettings control : load(deployment, "control", ControlSettings.class)) {
            ListenAddress peers = control.addresses().peers();
            running.add(new ControlHost(control.host(), peers.toAddress(peers.port()), control.failureDomain()));
            hostsByDomain.merge(control.failureDomain().value(), 1, Integer::sum);
        }
        List<ControlHost> listed =
                load(deployment, "entry", EntrySettings.class).get(0).control();
        assertEquals(5, running.size());
        assertEquals(Set.copyOf(listed), running);
        assertEquals(List.of(1, 2, 2), hostsByDomain.values().stream().sorted().toList());
    }

    @ParameterizedTest
    @ValueSource(strings = {"snowpaw", "zrno"})
    void noTwoProcessesShareAnAddress(String deployment) throws IOException {
        List<ListenAddress> all = new ArrayList<>();
        for (EntrySettings entry : load(deployment, "entry", EntrySettings.class)) {
            all.add(entry.addresses().callers());
            all.add(entry.addresses().operators());
            all.add(entry.addresses().peers());
        }
        for (ControlSettings control : load(deployment, "control", ControlSettings.class)) {
            all.add(control.addresses().operators());
            all.add(control.addresses().peers());
        }
        assertEquals(18 * 3 + 5 * 2, all.size());
        assertEquals(all.size(), Set.copyOf(all).size());
    }

    @ParameterizedTest
    @CsvSource({"snowpaw,elm-desk,booking-core", "zrno,elm-brew,desk-app"})
    void firstTicketsCreateModelServiceAndOrganisations(String deployment, String model, String service)
            throws IOException {
        Map<String, ConfigObject> objects = new HashMap<>();
        List<TicketNumber> numbers = new ArrayList<>();
        for (Path file : files(deployment, "tickets")) {
            Decoded<Ticket> read = Codecs.STRICT_JSON.decode(Files.readAllBytes(file), Ticket.class);
            Ticket ticket = (Ticket) assertInstanceOf(Decoded.Value.class, read, () -> file + ": " + read)
                    .value();
            numbers.add(ticket.number());
            ticket.objects().forEach(each -> objects.put(each.key(), each));
        }
        assertEquals(List.of(TicketNumber.of(1), TicketNumber.of(2)), numbers);
        assertEquals(12, objects.size());
        assertInstanceOf(Model.class, objects.get("model/" + model));
        assertInstanceOf(Service.class, objects.get("service/" + service));
    }

    @ParameterizedTest
    @ValueSource(strings = {"snowpaw", "zrno"})
    void threeOrganisationsHoldMostWeightAndKeyHashesAreOfSampleKeys(String deployment) throws IOException {
        byte[] ticket = Files.readAllBytes(EXAMPLES.resolve(deployment).resolve("tickets/2-organisations.json"));
        Decoded<Ticket> read = Codecs.STRICT_JSON.decode(ticket, Ticket.class);
        int weights = 0;
        List<Integer> largest = new ArrayList<>();
        for (ConfigObject each : ((Decoded.Value<Ticket>) read).value().objects()) {
            Organisation organisation = assertInstanceOf(Organisation.class, each);
            assertEquals(List.of(BearerKey.hash("sample-key-" + organisation.id())), organisation.keyHashes());
            weights += organisation.weight();
            largest.add(organisation.weight());
        }
        int three = largest.stream()
                .sorted((a, b) -> b - a)
                .limit(3)
                .mapToInt(Integer::intValue)
                .sum();
        assertTrue(three * 4 >= weights * 3, "three organisations hold " + three + " of " + weights);
    }

    private static <S extends Settings> List<S> load(String deployment, String folder, Class<S> type)
            throws IOException {
        SettingsReader reader = new SettingsReader(KeyFileMode.SKIP);
        List<S> loaded = new ArrayList<>();
        for (Path file : files(deployment, folder)) {
            SettingsResult result = reader.read(file);
            Settings settings = assertInstanceOf(SettingsResult.Valid.class, result, () -> file + ": " + result)
                    .settings();
            loaded.add(assertInstanceOf(type, settings));
        }
        return loaded;
    }

    private static List<Path> files(String deployment, String folder) throws IOException {
        try (Stream<Path> files = Files.list(EXAMPLES.resolve(deployment).resolve(folder))) {
            return files.sorted().toList();
        }
    }
}
