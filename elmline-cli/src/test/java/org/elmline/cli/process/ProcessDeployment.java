package org.elmline.cli.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.common.Closer;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** One control host, two entries, two engines and a service as separate processes, with the first ticket in force. */
final class ProcessDeployment implements AutoCloseable {
    static final String CALLER_KEY = "caller-key-of-process-tests";

    final Client operator = new Client(SettingsFiles.OPERATOR_KEY);
    final Client caller = new Client(CALLER_KEY);
    final List<ElmlineProcess> entries = new ArrayList<>();
    final List<ElmlineProcess> engines = new ArrayList<>();
    ElmlineProcess control;
    ElmlineProcess service;
    private final Closer closer = new Closer();
    private final Path folder;

    ProcessDeployment(Path folder) {
        this.folder = folder;
    }

    void start() throws Exception {
        SettingsFiles files = new SettingsFiles(folder);
        int port = freePort();
        List<SettingsFiles.ControlHostSettings> controlHosts =
                List.of(new SettingsFiles.ControlHostSettings("c1", "127.0.0.1:" + port, "d1"));
        String controlFile = files.control("c1", "d1", controlHosts, port).toString();
        assertEquals(0, ElmlineProcess.run(folder, "control", "bootstrap", "--settings", controlFile));
        CompletableFuture<ElmlineProcess> controlStart = startAsync("c1", "control", "run", "--settings", controlFile);
        List<CompletableFuture<ElmlineProcess>> entryStarts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            String file = files.entry("e" + i, "d" + i, controlHosts).toString();
            entryStarts.add(startAsync("e" + i, "entry", "--settings", file));
        }
        control = controlStart.get();
        for (CompletableFuture<ElmlineProcess> each : entryStarts) {
            entries.add(each.get());
        }
        startBackends(files);
        Client.await(
                "the first ticket is accepted",
                () -> operator.put(
                                        entries.get(0).ready("operator") + "/v1/tickets/1",
                                        RequestBodies.firstTicket(CALLER_KEY))
                                .status()
                        == 200);
        for (int i = 0; i < 2; i++) {
            int entry = i;
            Client.await(
                    "an answer at entry " + i,
                    () -> complete(entry, "warm up", 4).status() == 200);
            Client.await(
                    "the service at entry " + i,
                    () -> caller.get(service(entry, "schedule")).status() == 200);
        }
    }

    private void startBackends(SettingsFiles files) throws Exception {
        List<String> addresses =
                entries.stream().map(each -> each.address("caller")).toList();
        List<CompletableFuture<ElmlineProcess>> starts = new ArrayList<>();
        for (int i = 0; i < 2; i++) {
            String file = files.engine("g" + i, "d" + i, addresses, "elm-small").toString();
            starts.add(startAsync("g" + i, "standin", "engine", "--settings", file));
        }
        String file = files.service("s1", "d1", addresses, "booking").toString();
        CompletableFuture<ElmlineProcess> serviceStart = startAsync("s1", "standin", "service", "--settings", file);
        for (CompletableFuture<ElmlineProcess> each : starts) {
            engines.add(each.get());
        }
        service = serviceStart.get();
    }

    Client.Reply complete(int entry, String prompt, int tokens) throws IOException {
        return caller.post(completions(entry), body(prompt, tokens, false));
    }

    CompletableFuture<Client.Stream> stream(int entry, String prompt, int tokens) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return caller.stream(completions(entry), body(prompt, tokens, true));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    String service(int entry, String path) {
        return entries.get(entry).ready("caller") + "/v1/services/booking/" + path;
    }

    /** Number of open streams that the engines report. */
    int openStreams() throws IOException {
        int open = 0;
        for (ElmlineProcess each : engines) {
            if (each.alive()) {
                open += caller.get(each.ready("engine") + "/v1/streams").json().size();
            }
        }
        return open;
    }

    private String completions(int entry) {
        return entries.get(entry).ready("caller") + "/v1/completions";
    }

    private static String body(String prompt, int tokens, boolean stream) {
        return "{\"model\":\"elm-small\",\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%s}"
                .formatted(prompt, tokens, stream);
    }

    private CompletableFuture<ElmlineProcess> startAsync(String name, String... arguments) {
        return CompletableFuture.supplyAsync(() -> {
            try {
                return closer.register(ElmlineProcess.start(folder, name, arguments));
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        });
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    @Override
    public void close() {
        closer.close();
    }
}
