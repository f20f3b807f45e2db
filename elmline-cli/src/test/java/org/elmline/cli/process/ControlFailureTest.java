package org.elmline.cli.process;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;

import org.elmline.core.common.Closer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Three control hosts and two entries as separate processes over files, with killed and frozen processes and lost
 * disks.
 */
class ControlFailureTest {
    private static final String CALLER_KEY = "caller-key-of-control-tests";
    private static final int HOSTS = 3;

    @TempDir
    Path folder;

    private final Closer closer = new Closer();
    private final Client operator = new Client(SettingsFiles.OPERATOR_KEY);
    private final List<Path> settings = new ArrayList<>();
    private final List<ElmlineProcess> controls = new ArrayList<>();
    private final List<ElmlineProcess> entries = new ArrayList<>();
    private long nextTicket = 1;

    @BeforeEach
    void start() throws Exception {
        SettingsFiles files = new SettingsFiles(folder);
        List<SettingsFiles.ControlHostSettings> controlHosts = new ArrayList<>();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            ports.add(freePort());
            controlHosts.add(new SettingsFiles.ControlHostSettings("c" + i, "127.0.0.1:" + ports.get(i), "d" + i));
        }
        for (int i = 0; i < HOSTS; i++) {
            settings.add(files.control("c" + i, "d" + i, controlHosts, ports.get(i)));
        }
        String first = settings.get(0).toString();
        assertEquals(0, ElmlineProcess.run(folder, "control", "bootstrap", "--settings", first));
        List<CompletableFuture<ElmlineProcess>> starting = new ArrayList<>();
        for (int i = 0; i < HOSTS; i++) {
            starting.add(startAsync(
                    "c" + i, "control", "run", "--settings", settings.get(i).toString()));
        }
        for (int i = 0; i < 2; i++) {
            String file = files.entry("e" + i, "d" + i, controlHosts).toString();
            starting.add(startAsync("e" + i, "entry", "--settings", file));
        }
        for (int i = 0; i < HOSTS; i++) {
            controls.add(starting.get(i).get());
        }
        entries.add(starting.get(HOSTS).get());
        entries.add(starting.get(HOSTS + 1).get());
        Client.await("three voters", () -> voters(0) == HOSTS && leader() >= 0);
        apply();
    }

    @AfterEach
    void stop() {
        closer.close();
    }

    /**
     * The leader is killed, a change follows at once, and the killed host restarts: the new leader must accept the
     * change, and no ticket accepted before may be lost.
     */
    @Test
    void killedLeaderLosesNoTicket() throws Exception {
        int killed = leader();
        controls.get(killed).kill();
        long ticket = apply();
        restart(killed);
        controls.get((killed + 1) % HOSTS).kill();
        assertAccepted(1);
        assertAccepted(ticket);
        apply();
    }

    /**
     * The leader freezes for longer than its lease while a new leader accepts changes. It continues with its old
     * leadership in memory: no entry may receive an older configuration from it, and it must become a follower.
     */
    @Test
    void frozenLeaderResumesAsFollower() throws Exception {
        int frozen = leader();
        controls.get(frozen).freeze();
        long ticket = apply();
        long version = configVersion(0);
        controls.get(frozen).resume();
        Client.await("the frozen host follows", () -> {
            assertTrue(configVersion(0) >= version, "the configuration went back");
            assertTrue(configVersion(1) >= 1, "the configuration went back");
            return "FOLLOWER".equals(status(frozen).path("role").asText());
        });
        assertAccepted(ticket);
    }

    /**
     * A host loses its disk and restarts with an empty one, and right after its repair a second host is killed. The
     * first must not vote without the state that it lost; with it back as a new replica, two of three must still decide.
     */
    @Test
    void replacesReplicaWithALostDisk() throws Exception {
        int lost = (leader() + 1) % HOSTS;
        String before = status(lost).path("replica").asText();
        controls.get(lost).kill();
        delete(folder.resolve("data-c" + lost));
        restart(lost);
        Client.await("the new replica votes and the lost one is gone", () -> {
            String now = status(lost).path("replica").asText();
            return !now.equals(before) && isVoter(lost, now) && voters(lost) == HOSTS;
        });
        int second = (lost + 1) % HOSTS;
        controls.get(second).kill();
        long ticket = apply();
        assertAccepted(1);
        assertAccepted(ticket);
    }

    /**
     * Hundreds of changes are accepted while a host is down; it must catch up and, with another host down, decide with
     * the remaining one.
     */
    @Test
    void restartedHostCatchesUpAfterHundredsOfChanges() throws Exception {
        int down = (leader() + 1) % HOSTS;
        controls.get(down).kill();
        for (int i = 0; i < 300; i++) {
            assertEquals(200, put(0, nextTicket++, "guides-" + i).status());
        }
        restart(down);
        long applied = status(leader()).path("appliedIndex").asLong();
        Client.await("caught up", () -> status(down).path("appliedIndex").asLong() >= applied);
        controls.get((down + 1) % HOSTS).kill();
        assertAccepted(apply());
        assertAccepted(200);
    }

    /**
     * Two operators send different changes under one number at once, to two hosts. Exactly one must be accepted, the
     * other refused with the winner's name. The same ticket sent again, as after a lost answer, must get the recorded
     * answer.
     */
    @Test
    void acceptsOneOfTwoTicketsWithTheSameNumber() throws Exception {
        int rounds = 0;
        for (int i = 0; i < 10; i++) {
            long number = nextTicket++;
            String leftOrganisation = "left-" + i;
            String rightOrganisation = "right-" + i;
            CompletableFuture<Client.Reply> left = putAsync(0, number, leftOrganisation);
            CompletableFuture<Client.Reply> right = putAsync(1, number, rightOrganisation);
            boolean leftWon = left.get().status() == 200;
            boolean rightWon = right.get().status() == 200;
            assertTrue(leftWon ^ rightWon, left.get() + " and " + right.get());
            Client.Reply loser = leftWon ? right.get() : left.get();
            assertEquals(409, loser.status(), loser.body());
            Client.Reply again = put(leftWon ? 1 : 0, number, leftWon ? leftOrganisation : rightOrganisation);
            assertEquals(200, again.status(), again.body());
            rounds++;
        }
        assertEquals(10, rounds);
    }

    private long apply() throws Exception {
        long number = nextTicket++;
        Client.await(
                "ticket " + number + " accepted", () -> put(0, number, "guides").status() == 200);
        Client.await(
                "ticket " + number + " in force",
                () -> ticket(1, number).json().path("inForce").asBoolean());
        return number;
    }

    private void assertAccepted(long number) throws Exception {
        Client.await("ticket " + number + " readable", () -> ticket(0, number).status() == 200);
        assertTrue(ticket(0, number).json().path("accepted").asBoolean());
    }

    private CompletableFuture<Client.Reply> putAsync(int entry, long number, String organisation) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return put(entry, number, organisation);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    private Client.Reply put(int entry, long number, String organisation) throws IOException {
        String body = RequestBodies.firstTicket(CALLER_KEY + organisation).replace("guides", organisation);
        return operator.put(entries.get(entry).ready("operator") + "/v1/tickets/" + number, body);
    }

    private Client.Reply ticket(int entry, long number) throws IOException {
        return operator.get(entries.get(entry).ready("operator") + "/v1/tickets/" + number);
    }

    private long configVersion(int entry) throws IOException {
        return operator.get(entries.get(entry).ready("operator") + "/v1/status")
                .json()
                .path("configVersion")
                .asLong();
    }

    private com.fasterxml.jackson.databind.JsonNode status(int control) throws IOException {
        return operator.get(controls.get(control).ready("operator") + "/v1/status")
                .json();
    }

    private int leader() throws Exception {
        for (int i = 0; i < HOSTS; i++) {
            if (controls.get(i).alive()
                    && "LEADER".equals(status(i).path("role").asText())) {
                return i;
            }
        }
        return -1;
    }

    private int voters(int control) throws IOException {
        return status(control).path("voters").size();
    }

    private boolean isVoter(int control, String replica) throws IOException {
        for (com.fasterxml.jackson.databind.JsonNode each : status(control).path("voters")) {
            if (each.asText().equals(replica)) {
                return true;
            }
        }
        return false;
    }

    private void restart(int control) throws Exception {
        controls.set(
                control,
                startAsync(
                                "c" + control,
                                "control",
                                "run",
                                "--settings",
                                settings.get(control).toString())
                        .get());
    }

    private CompletableFuture<ElmlineProcess> startAsync(String name, String... arguments) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return closer.register(ElmlineProcess.start(folder, name, arguments));
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            }
        });
    }

    private static void delete(Path tree) throws IOException {
        try (Stream<Path> files = Files.walk(tree)) {
            for (Path each : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(each);
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }
}
