package org.elmline.cli.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** One elmline process started by a test, with the addresses of its ready line. */
final class ElmlineProcess implements AutoCloseable {
    private static final long STOP_SECONDS = 60;

    private final Process process;
    private final Map<String, String> ready;

    private ElmlineProcess(Process process, Map<String, String> ready) {
        this.process = process;
        this.ready = ready;
    }

    /** Starts the command and returns once it has printed its ready line. */
    static ElmlineProcess start(Path folder, String name, String... arguments) throws IOException {
        Path log = folder.resolve(name + ".log");
        Process process = new ProcessBuilder(command(arguments))
                .redirectError(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start();
        BufferedReader out =
                new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
        for (String line = out.readLine(); line != null; line = out.readLine()) {
            if (line.startsWith("ready ")) {
                return new ElmlineProcess(process, parseReadyLine(line));
            }
        }
        throw new IOException(name + " ended without a ready line; its log:\n" + Files.readString(log));
    }

    /** Runs a command that ends by itself and returns its exit code. */
    static int run(Path folder, String... arguments) throws IOException, InterruptedException {
        return new ProcessBuilder(command(arguments))
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve("commands.log").toFile()))
                .start()
                .waitFor();
    }

    private static List<String> command(String... arguments) {
        List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(List.of("-Xmx256m", "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-cp"));
        command.add(System.getProperty("java.class.path"));
        command.add("org.elmline.cli.Main");
        command.addAll(List.of(arguments));
        return command;
    }

    private static Map<String, String> parseReadyLine(String line) {
        Map<String, String> values = new HashMap<>();
        for (String each : line.split(" ")) {
            int equals = each.indexOf('=');
            if (equals > 0) {
                values.put(each.substring(0, equals), each.substring(equals + 1));
            }
        }
        return values;
    }

    /** A value of the ready line, for example {@code caller}. */
    String ready(String key) {
        return ready.get(key);
    }

    /** The IP and port of a URL in the ready line. */
    String address(String key) {
        return ready.get(key).replace("http://", "");
    }

    long pid() {
        return process.pid();
    }

    boolean alive() {
        return process.isAlive();
    }

    /** Sends SIGTERM. */
    void terminate() {
        process.destroy();
    }

    /** Sends SIGKILL and waits for the end of the process. */
    void kill() throws InterruptedException {
        process.destroyForcibly();
        process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
    }

    /** Sends SIGSTOP: the process freezes with all its threads. */
    void freeze() throws IOException, InterruptedException {
        signal("STOP");
    }

    /** Sends SIGCONT: the frozen process continues. */
    void resume() throws IOException, InterruptedException {
        signal("CONT");
    }

    boolean waitForEnd() throws InterruptedException {
        return process.waitFor(STOP_SECONDS, TimeUnit.SECONDS);
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(pid())).start().waitFor();
    }

    @Override
    public void close() throws InterruptedException {
        kill();
    }
}
