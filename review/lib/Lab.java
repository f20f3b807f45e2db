import java.io.BufferedWriter;
import java.io.File;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment of the program's own processes on loopback addresses, with stand-ins for the operator, the
 * clients and the platform. Processes are started with the commands of deploy/system.toml, in the repository root.
 */
final class Lab implements AutoCloseable {
    static final int CALLER_PORT = 8227;
    static final int READY_PORT = 8220;
    static final int DIRECTORY_PORT = 8228;
    static final int CONTROL_PORT = 8229;
    static final String HOST = "ficu95.example";

    final Path root;
    final Path temp;
    final String net;
    final List<String> controls = new ArrayList<>();
    final List<Node> nodes = new ArrayList<>();
    final List<Replica> replicas = new ArrayList<>();
    private final BufferedWriter record;
    private final long startNanos = System.nanoTime();

    /** One process of the program. */
    final class Node {
        final String name;
        final String ip;
        final boolean entry;
        final Path settings;
        volatile Process process;

        Node(String name, String ip, boolean entry) {
            this.name = name;
            this.ip = ip;
            this.entry = entry;
            this.settings = temp.resolve(name + ".json");
        }

        void writeSettings(boolean firstStart) throws IOException {
            String hosts = String.join(",", controls.stream()
                    .limit(3).map(each -> "\"" + each + ":" + CONTROL_PORT + "\"").toList());
            String own = entry
                    ? "\"callers\":\"" + ip + ":" + CALLER_PORT + "\",\"ready\":\"" + ip + ":" + READY_PORT
                            + "\",\"directory\":\"" + ip + ":" + DIRECTORY_PORT + "\","
                    : "\"operators\":\"" + ip + ":" + CONTROL_PORT + "\",\"dataFolder\":\"" + temp.resolve(name) + "\",";
            // The values of kit/more/system/sites/snowpaw-elmline.toml, as deploy/settings.json.tmpl lays them out.
            String json = "{\"name\":\"" + name + "\",\"ip\":\"" + ip
                    + "\",\"region\":\"th-north\",\"failureDomain\":\"chiangmai-a\"," + own
                    + "\"heartbeatMillis\":1200,\"drainSeconds\":8,\"routingUpdateMillis\":2000,"
                    + "\"unconfirmedRoutingMillis\":3000,\"directoryKeepSeconds\":5,\"directoryEntries\":12,"
                    + "\"admission\":\"forecast\",\"retries\":{\"ratio\":0.2,\"slack\":234,\"windowSeconds\":10},"
                    + "\"controlHosts\":[" + hosts + "],\"firstStart\":" + firstStart
                    + ",\"peerPort\":7340,\"relayPort\":7355,\"metricsPort\":9464,"
                    + "\"peerKey\":\"elmline-deployment-key\"}";
            Files.writeString(settings, json);
        }

        void start() throws IOException {
            ProcessBuilder builder = new ProcessBuilder(command(entry ? "entry" : "control"));
            Map<String, String> before = new LinkedHashMap<>(builder.environment());
            builder.environment().clear();
            for (String each : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
                if (before.get(each) != null) {
                    builder.environment().put(each, before.get(each));
                }
            }
            builder.environment().put("ELMLINE_BOOT", settings.toString());
            builder.directory(root.toFile());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(temp.resolve(name + ".log").toFile()));
            process = builder.start();
            note("platform", "started " + name + " at " + ip + ", pid " + process.pid());
        }

        void signal(String signal) throws IOException, InterruptedException {
            note("platform", "SIG" + signal + " to " + name);
            new ProcessBuilder("/bin/kill", "-" + signal, Long.toString(process.pid()))
                    .inheritIO().start().waitFor();
        }

        String log() throws IOException {
            return Files.readString(temp.resolve(name + ".log"));
        }
    }

    /** What one case does with a started deployment; returns whether the rule held. */
    interface Case {
        boolean run(Lab lab, boolean trouble) throws Exception;
    }

    private static final int HELD = 10;
    private static final int BROKEN = 11;
    private static final int NOT_RUN = 12;
    private static final int LONGEST_RUN_SECONDS = 115;

    /** Plays one case and ends this process with its result, which run.sh translates. */
    static void play(String folder, int controlCount, int entryCount, Case played) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Replica.daemon(() -> {
            sleep(LONGEST_RUN_SECONDS * 1_000L);
            System.err.println("the run takes too long");
            System.exit(NOT_RUN);
        });
        int code = NOT_RUN;
        try (Lab lab = new Lab(Path.of(folder), controlCount, entryCount)) {
            lab.note("case", trouble ? "with the disruption" : "without the disruption (TROUBLE=0)");
            lab.startAll();
            boolean held = played.run(lab, trouble);
            lab.note("verdict", held ? "the rule held" : "the rule was broken");
            code = held ? HELD : BROKEN;
        } catch (Throwable e) {
            e.printStackTrace();
        }
        System.exit(code);
    }

    Lab(Path folder, int controlCount, int entryCount) throws IOException {
        root = Path.of("").toAbsolutePath();
        temp = Files.createTempDirectory("elmline-review-");
        record = Files.newBufferedWriter(folder.resolve("record.txt"));
        net = freeNet();
        for (int i = 1; i <= controlCount; i++) {
            controls.add(net + "." + i);
            nodes.add(new Node("core-" + i, net + "." + i, false));
        }
        for (int i = 1; i <= entryCount; i++) {
            nodes.add(new Node("edge-" + i, net + "." + (10 + i), true));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    private static String freeNet() throws IOException {
        Random random = new Random();
        for (int i = 0; i < 50; i++) {
            String net = "127." + (20 + random.nextInt(200)) + "." + random.nextInt(250);
            boolean free = true;
            for (int port : new int[] {CALLER_PORT, CONTROL_PORT, 7340, 7355, 9464}) {
                try (ServerSocket probe = new ServerSocket()) {
                    probe.bind(new InetSocketAddress(net + ".1", port));
                } catch (IOException e) {
                    free = false;
                }
            }
            if (free) {
                return net;
            }
        }
        throw new IOException("no free loopback addresses");
    }

    private List<String> command(String role) throws IOException {
        boolean inRole = false;
        for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
            if (line.startsWith("[")) {
                inRole = line.trim().equals("[roles." + role + "]");
            } else if (inRole && line.startsWith("run = \"")) {
                return Arrays.asList(line.substring(7, line.length() - 1).split(" "));
            }
        }
        throw new IOException("no command of role " + role);
    }

    Node node(String name) {
        return nodes.stream().filter(each -> each.name.equals(name)).findFirst().orElseThrow();
    }

    /** Starts all processes. */
    void startAll() throws IOException {
        for (Node each : nodes) {
            each.writeSettings(true);
            each.start();
        }
    }

    /** Writes one line of what was sent, answered or run. */
    synchronized void note(String who, String what) {
        try {
            record.write(String.format("%8.3f %-10s %s%n", millis() / 1000.0, who, what));
            record.flush();
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Milliseconds since the start of the run. */
    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends a configuration to the control hosts in turn until one acknowledges it. */
    void putConfig(String json) throws IOException {
        long until = millis() + 30_000;
        for (int i = 0; millis() < until; i++) {
            String control = controls.get(i % controls.size());
            try {
                Http.Answer answer = Http.call(control, CONTROL_PORT, "PUT", "/config",
                        List.of("Content-Type: application/json"), json.getBytes(StandardCharsets.UTF_8), 1_000);
                if (answer.status == 200) {
                    note("operator", "PUT /config acknowledged by " + control);
                    return;
                }
                if (answer.status == 400) {
                    throw new IllegalStateException("configuration refused: " + answer.text());
                }
            } catch (IOException e) {
                // The next control host is tried.
            }
            sleep(200);
        }
        throw new IOException("no control host acknowledged the configuration");
    }

    /** Waits until all entries say that they are ready. */
    void awaitReady() throws IOException {
        long until = millis() + 30_000;
        for (Node each : nodes) {
            while (each.entry && !isReady(each)) {
                if (millis() > until) {
                    throw new IOException(each.name + " is not ready");
                }
                sleep(100);
            }
        }
        note("platform", "all entries ready");
    }

    boolean isReady(Node entry) {
        try {
            return Http.call(entry.ip, READY_PORT, "GET", "/ready", List.of(), null, 1_000).status == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** A replica of a service at an address of its own. */
    Replica replica(int number, String service, Replica.Behaviour behaviour) throws IOException {
        Replica replica = new Replica(this, net + "." + (100 + number), 8080, "i-" + service + "-" + number, service,
                behaviour);
        replicas.add(replica);
        replica.start();
        return replica;
    }

    private void killAll() {
        for (Node each : nodes) {
            if (each.process != null && each.process.isAlive()) {
                each.process.destroyForcibly();
            }
        }
    }

    @Override
    public void close() throws IOException {
        replicas.forEach(Replica::stop);
        killAll();
        for (Node each : nodes) {
            try {
                if (each.process != null) {
                    each.process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP") == null) {
            try (var files = Files.walk(temp)) {
                files.sorted(Comparator.reverseOrder()).map(Path::toFile).forEach(File::delete);
            }
        } else {
            System.err.println("logs: " + temp);
        }
        record.close();
    }
}
