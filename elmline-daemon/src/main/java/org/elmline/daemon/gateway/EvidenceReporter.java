package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.quarantine.EvidenceReport;
import org.elmline.core.quarantine.GroupDemand;
import org.elmline.core.quarantine.PartPass;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.QuarantineChannels;
import org.elmline.core.quarantine.QuarantineNews;
import org.elmline.core.quarantine.QuarantineRecord;
import org.elmline.core.quarantine.ServerCrash;
import org.xnio.XnioExecutor;

/**
 * Sends what this entry observes to every control host, as each decides by itself: passes and demands in batches,
 * crashes at once. Used on the I/O thread only.
 */
final class EvidenceReporter {
    private static final long BATCH_DELAY_MILLIS = 20;
    private static final Duration SEND_TIMEOUT = Duration.ofMillis(800);

    /** Sends of a report to a control host that does not answer; it may be starting, or its connection was lost. */
    private static final int MAX_SENDS = 3;

    private static final long RESEND_DELAY_MILLIS = 300;

    /** Longest wait of a call for the first control host's answer to a crash. */
    private static final long MAX_ANSWER_WAIT_MILLIS = 100;

    private final HostId self;
    private final PeerNetwork network;
    private final Supplier<Collection<Address>> controlHosts;
    private final XnioExecutor thread;
    private final MonotonicClock clock;
    private final BiConsumer<Address, QuarantineNews> newsListener;
    private final List<PartPass> passes = new ArrayList<>();
    private final Set<GroupDemand> demands = new LinkedHashSet<>();
    private final SentCrashes sentCrashes = new SentCrashes();
    private boolean flushScheduled;

    /** @param newsListener receives what a control host holds after a report */
    EvidenceReporter(
            HostId self,
            PeerNetwork network,
            Supplier<Collection<Address>> controlHosts,
            XnioExecutor thread,
            MonotonicClock clock,
            BiConsumer<Address, QuarantineNews> newsListener) {
        this.self = self;
        this.network = network;
        this.controlHosts = controlHosts;
        this.thread = thread;
        this.clock = clock;
        this.newsListener = newsListener;
    }

    void add(Collection<PartPass> observed) {
        passes.addAll(observed);
        scheduleFlush();
    }

    void add(GroupDemand demand) {
        demands.add(demand);
        scheduleFlush();
    }

    private void scheduleFlush() {
        if (!flushScheduled) {
            flushScheduled = true;
            thread.executeAfter(this::flush, BATCH_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void flush() {
        flushScheduled = false;
        if (passes.isEmpty() && demands.isEmpty()) {
            return;
        }
        EvidenceReport report =
                new EvidenceReport(self, List.of(), List.copyOf(passes), List.copyOf(demands), List.of());
        passes.clear();
        demands.clear();
        controlHosts.get().forEach(each -> send(each, report, 1, () -> {}));
    }

    /**
     * Reports a crash.
     *
     * @param latestPasses answers of this entry that went on before, with parts of the prompt
     * @param onAnswered run once, when the first control host has answered or after a short wait
     */
    void reportCrash(ServerCrash crash, List<PartPass> latestPasses, Runnable onAnswered) {
        EvidenceReport report = new EvidenceReport(self, List.of(crash), latestPasses, List.of(), List.of());
        FirstRun first = new FirstRun(onAnswered);
        thread.executeAfter(first, MAX_ANSWER_WAIT_MILLIS, TimeUnit.MILLISECONDS);
        Collection<Address> receivers = controlHosts.get();
        sentCrashes.add(crash, receivers, clock.nanos());
        receivers.forEach(each -> send(each, report, 1, first));
    }

    /** Forgets the crashes of a request that was answered. */
    void withdrawCrashes(PromptPart request) {
        sentCrashes.removeRequest(request);
    }

    /**
     * Reports the crashes that a control host lacks.
     *
     * @param start identifies the start of the control host
     * @param latestPasses answers of this entry that went on before, with parts of the prompt of a crash
     */
    void resendCrashes(Address controlHost, long start, Function<ServerCrash, List<PartPass>> latestPasses) {
        sentCrashes.onAnswer(controlHost, start);
        List<ServerCrash> missing = sentCrashes.startSending(controlHost, clock.nanos());
        if (missing.isEmpty()) {
            return;
        }
        List<PartPass> passes = missing.stream()
                .flatMap(each -> latestPasses.apply(each).stream())
                .toList();
        send(controlHost, new EvidenceReport(self, missing, passes, List.of(), List.of()), MAX_SENDS, () -> {});
    }

    /** Gives a control host records that it has lost. */
    void restore(Address controlHost, List<QuarantineRecord> records) {
        send(controlHost, new EvidenceReport(self, List.of(), List.of(), List.of(), records), MAX_SENDS, () -> {});
    }

    private void send(Address controlHost, EvidenceReport report, int number, Runnable onAnswered) {
        network.call(controlHost, QuarantineChannels.REPORT, report, SEND_TIMEOUT)
                .thenAccept(result -> {
                    if (result instanceof CallResult.Answered<QuarantineNews> answered) {
                        newsListener.accept(controlHost, answered.value());
                        onAnswered.run();
                    } else if (number < MAX_SENDS) {
                        thread.executeAfter(
                                () -> send(controlHost, report, number + 1, onAnswered),
                                RESEND_DELAY_MILLIS,
                                TimeUnit.MILLISECONDS);
                    } else {
                        report.crashes().forEach(each -> sentCrashes.onLost(controlHost, each));
                    }
                });
    }

    /** Runs a task once, however often it is run itself. */
    private static final class FirstRun implements Runnable {
        private Runnable task;

        FirstRun(Runnable task) {
            this.task = task;
        }

        @Override
        public void run() {
            if (task != null) {
                Runnable once = task;
                task = null;
                once.run();
            }
        }
    }
}
