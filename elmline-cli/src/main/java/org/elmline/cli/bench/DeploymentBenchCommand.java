package org.elmline.cli.bench;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.elmline.bench.http.PassThroughProxy;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.cli.local.LocalDeployment;
import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.Organisation;
import org.elmline.core.control.Ticket;
import org.elmline.core.control.TicketAnswer;
import org.elmline.daemon.entry.EntryDaemon;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures a whole deployment in this process, over real sockets and files. */
@Command(
        name = "deployment",
        description =
                "Runs entries and control hosts in this process: tickets to in force, and an entry against a proxy.")
final class DeploymentBenchCommand implements ExitingCommand {
    private static final int WARM_UP_PROBES = 200;
    private static final int MEASURED_PROBES = 500;
    private static final int CALLER_THREADS = 8;
    private static final int CALLS_PER_CALLER = 150;
    private static final double ENGINE_TIME_SCALE = 200;
    private static final int FIRST_FREE_TICKET = 10;

    @Spec
    private CommandSpec spec;

    @Option(names = "--entries", defaultValue = "18", description = "entries; default: ${DEFAULT-VALUE}")
    private int entries;

    @Option(names = "--control-hosts", defaultValue = "3", description = "control hosts; default: ${DEFAULT-VALUE}")
    private int controlHosts;

    @Option(names = "--tickets", defaultValue = "40", description = "tickets to time; default: ${DEFAULT-VALUE}")
    private int tickets;

    @Override
    public ExitCode execute() throws Exception {
        PrintWriter out = spec.commandLine().getOut();
        try (LocalDeployment deployment = LocalDeployment.builder()
                .entries(entries)
                .controlHosts(controlHosts)
                .timeScale(ENGINE_TIME_SCALE)
                .start()) {
            printTimes(
                    out, tickets + " tickets on " + entries + " entries, ms: accepted", acceptanceMillis(deployment));
            printTimes(out, "the same, ms: in force on all", inForce(deployment));
            compareWithProxy(out, deployment);
        }
        return ExitCode.OK;
    }

    private List<Long> acceptanceMillis(LocalDeployment deployment) throws IOException {
        List<Long> millis = new ArrayList<>();
        for (int i = 0; i < tickets; i++) {
            long start = System.nanoTime();
            submit(deployment, FIRST_FREE_TICKET + i);
            millis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
        }
        return millis;
    }

    private List<Long> inForce(LocalDeployment deployment) throws IOException, InterruptedException {
        List<Long> millis = new ArrayList<>();
        for (int i = 0; i < tickets; i++) {
            int number = FIRST_FREE_TICKET + tickets + i;
            long start = System.nanoTime();
            boolean done = submit(deployment, number);
            while (!done) {
                TimeUnit.MILLISECONDS.sleep(1);
                EntryDaemon entry = deployment.entries().get(0);
                done = inForce(entry.control().ticket(TicketNumber.of(number)).join());
            }
            millis.add(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
        }
        return millis;
    }

    private static boolean submit(LocalDeployment deployment, int number) throws IOException {
        Organisation organisation = new Organisation(OrganisationId.of("timed"), number, 1, List.of(), 0, 0, false);
        Ticket ticket = new Ticket(TicketNumber.of(number), "bench", List.of(organisation));
        EntryDaemon entry =
                deployment.entries().get(number % deployment.entries().size());
        CallResult<TicketAnswer> answer = entry.control().submit(ticket).join();
        if (answer instanceof CallResult.Answered<TicketAnswer> answered
                && answered.value() instanceof TicketAnswer.Decided) {
            return inForce(answer);
        }
        throw new IOException("ticket " + number + " was not decided: " + answer);
    }

    private static boolean inForce(CallResult<TicketAnswer> answer) {
        return answer instanceof CallResult.Answered<TicketAnswer> answered
                && answered.value() instanceof TicketAnswer.Decided decided
                && decided.status().inForce();
    }

    /**
     * Entry and proxy use the same engine and are probed alternately, so that other load on the machine affects both
     * alike.
     */
    private static void compareWithProxy(PrintWriter out, LocalDeployment deployment) throws Exception {
        StreamProbe probe = new StreamProbe(deployment.callerKey());
        Address entry = deployment.entries().get(0).callers();
        try (PassThroughProxy proxy =
                new PassThroughProxy(deployment.engines().get(0).address())) {
            List<Long> byEntry = new ArrayList<>();
            List<Long> byProxy = new ArrayList<>();
            for (int i = 0; i < WARM_UP_PROBES + MEASURED_PROBES; i++) {
                long entryMicros = probe.firstEventMicros(entry, "probe " + i);
                long proxyMicros = probe.firstEventMicros(proxy.address(), "probe " + i);
                if (i >= WARM_UP_PROBES) {
                    byEntry.add(entryMicros);
                    byProxy.add(proxyMicros);
                }
            }
            printTimes(out, "first event through the entry, us", byEntry);
            printTimes(out, "first event through the proxy, us", byProxy);
            out.printf(
                    "ratio of the medians: %.2f, added: %d us%n",
                    (double) median(byEntry) / median(byProxy), median(byEntry) - median(byProxy));
            double entryRate = requestsPerSecond(probe, entry);
            double proxyRate = requestsPerSecond(probe, proxy.address());
            out.printf(
                    "%d callers at once, requests a second: entry %.0f, proxy %.0f, ratio %.2f%n",
                    CALLER_THREADS, entryRate, proxyRate, entryRate / proxyRate);
        } finally {
            probe.close();
        }
    }

    private static double requestsPerSecond(StreamProbe probe, Address target) throws Exception {
        ExecutorService callers = Executors.newFixedThreadPool(CALLER_THREADS);
        long start = System.nanoTime();
        try {
            List<CompletableFuture<Void>> running = new ArrayList<>();
            for (int caller = 0; caller < CALLER_THREADS; caller++) {
                running.add(CompletableFuture.runAsync(() -> sendCalls(probe, target), callers));
            }
            for (CompletableFuture<Void> each : running) {
                each.get();
            }
        } finally {
            callers.shutdown();
        }
        double seconds = (System.nanoTime() - start) / (double) TimeUnit.SECONDS.toNanos(1);
        return CALLER_THREADS * CALLS_PER_CALLER / seconds;
    }

    private static void sendCalls(StreamProbe probe, Address target) {
        try {
            for (int i = 0; i < CALLS_PER_CALLER; i++) {
                probe.firstEventMicros(target, "rate " + i);
            }
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    private static void printTimes(PrintWriter out, String what, List<Long> values) {
        List<Long> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        int last = sorted.size() - 1;
        out.printf(
                "%s: median %d, least %d, 95 %% %d, most %d%n",
                what, median(values), sorted.get(0), sorted.get((int) Math.ceil(last * 0.95)), sorted.get(last));
        out.flush();
    }

    private static long median(List<Long> values) {
        List<Long> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get(sorted.size() / 2);
    }
}
