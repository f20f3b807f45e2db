package org.elmline.daemon.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.quarantine.GroupDemand;
import org.elmline.core.quarantine.PartPass;
import org.elmline.core.quarantine.PassLog;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.QuarantineNews;
import org.elmline.core.quarantine.QuarantineRecord;
import org.elmline.core.quarantine.QuarantineView;
import org.elmline.core.quarantine.ServerCrash;
import org.elmline.core.quarantine.ServerStart;
import org.elmline.daemon.log.DecisionLog;
import org.xnio.XnioExecutor;

/**
 * The quarantine on an entry: decides on calls by what control hosts hold, and reports servers that ended and answers
 * that went on. Used on the I/O thread only.
 */
final class QuarantineClient implements DeploymentFollower.QuarantineListener {
    /** Shortest interval between two demands for the same group, or two reports of passes of the same part. */
    private static final long REPORT_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final MonotonicClock clock;
    private final DecisionLog log;
    private final QuarantineView view;
    private final PassLog passLog = new PassLog();
    private final EvidenceReporter reporter;
    private final CrashCheck crashCheck;
    private final EndWatch endWatch;
    private final Runnable onChange;
    private final Map<GroupDemand, Long> demandedAtNanos = new HashMap<>();
    private final Map<PromptPart, Long> reportedAtNanos = new HashMap<>();
    private final Counter refused;
    private final Counter held;
    private final Counter trials;
    private final Counter crashes;

    /** @param onChange called when a group has changed its stage */
    QuarantineClient(
            HostId self,
            PeerNetwork network,
            DeploymentFollower deployment,
            CrashCheck crashCheck,
            Runnable onChange,
            XnioExecutor thread,
            MonotonicClock clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.clock = clock;
        this.log = log;
        this.crashCheck = crashCheck;
        this.onChange = onChange;
        this.endWatch = new EndWatch(crashCheck, deployment, this::onServerEnded, thread, clock);
        this.view = new QuarantineView(self);
        this.reporter = new EvidenceReporter(self, network, deployment::controlHosts, thread, clock, this::applyNews);
        this.refused = metrics.counter("quarantine.calls.refused");
        this.held = metrics.counter("quarantine.calls.held");
        this.trials = metrics.counter("quarantine.trials");
        this.crashes = metrics.counter("quarantine.crashes");
        metrics.gauge("quarantine.groups", () -> () -> view.restricted().size());
    }

    @Override
    public void onAnswer(Address controlHost, long start, QuarantineNews news) {
        if (news != null) {
            onNews(controlHost, news);
        }
        reporter.resendCrashes(
                controlHost, start, crash -> passLog.latest(crash.service(), crash.parts(), clock.nanos()));
    }

    private void onNews(Address controlHost, QuarantineNews news) {
        applyNews(controlHost, news);
        List<QuarantineRecord> missing = view.missingIn(news);
        if (!missing.isEmpty()) {
            reporter.restore(controlHost, missing);
        }
    }

    private void applyNews(Address controlHost, QuarantineNews news) {
        List<QuarantineRecord> changed = view.apply(news, clock.nanos());
        for (QuarantineRecord each : changed) {
            log.line("quarantine in force")
                    .with("service", each.service())
                    .with("group", each.group())
                    .with("stage", each.stage())
                    .with("reason", each.reason())
                    .with("revision", each.revision())
                    .with("control", controlHost)
                    .write();
        }
        news.suspects().forEach(each -> reportLatestPasses(each.service(), each.parts()));
        onChange.run();
    }

    private void reportLatestPasses(ServiceName service, Collection<PromptPart> parts) {
        long now = clock.nanos();
        reportPasses(passLog.latest(service, parts, now), now);
    }

    private void reportPasses(Collection<PartPass> passes, long now) {
        List<PartPass> due = new ArrayList<>();
        for (PartPass each : passes) {
            if (each.part() != null && isDue(reportedAtNanos, each.part(), now)) {
                due.add(each);
            }
        }
        if (!due.isEmpty()) {
            reporter.add(due);
        }
    }

    private static <K> boolean isDue(Map<K, Long> doneAtNanos, K key, long now) {
        doneAtNanos.values().removeIf(each -> now - each >= REPORT_INTERVAL_NANOS);
        return doneAtNanos.putIfAbsent(key, now) == null;
    }

    /**
     * Decides on a call, and reports that this entry could send the next trial.
     *
     * @param mayTry whether the call may be a trial
     */
    QuarantineView.Decision decide(ServiceName service, CallParts parts, boolean mayTry) {
        if (view.isEmpty()) {
            return QuarantineView.Decision.ALLOWED;
        }
        QuarantineView.Decision decision = view.decide(service, view.compared(service, parts), mayTry, clock.nanos());
        if (decision instanceof QuarantineView.Decision.Trial trial) {
            trials.inc();
            logDecision("trial of a quarantined group", trial.quarantine());
        } else if (decision instanceof QuarantineView.Decision.Held waiting) {
            held.inc();
            demandTrial(waiting.quarantine());
        } else if (decision instanceof QuarantineView.Decision.Refused refusal) {
            refused.inc();
            demandTrial(refusal.quarantine());
        }
        return decision;
    }

    private void demandTrial(QuarantineRecord quarantine) {
        GroupDemand demand = new GroupDemand(quarantine.service(), quarantine.group());
        if (isDue(demandedAtNanos, demand, clock.nanos())) {
            reporter.add(demand);
        }
    }

    private void logDecision(String event, QuarantineRecord quarantine) {
        log.line(event)
                .with("service", quarantine.service())
                .with("group", quarantine.group())
                .with("stage", quarantine.stage())
                .with("trial", quarantine.trials())
                .write();
    }

    /** Whether calls with these parts are refused now. Grants no trial and counts nothing. */
    boolean isRefused(ServiceName service, CallParts parts) {
        return !view.isEmpty() && view.isRefused(service, view.compared(service, parts));
    }

    /** Records a complete answer: the request does not end the server that runs it. */
    void recordAnswered(ServiceName service, ServerStart server, CallParts parts) {
        endWatch.recordAnswered(server, parts);
        if (parts.hasEndedServer() || view.restricts(service, parts)) {
            reporter.withdrawCrashes(parts.request());
            reportPasses(List.of(new PartPass(service, parts.request(), 0)), clock.nanos());
        }
    }

    /** Records an answer that has gone on past its beginning, or is complete. */
    void recordPass(ServiceName service, List<PromptPart> parts) {
        long now = clock.nanos();
        passLog.record(service, parts, now);
        if (view.isEmpty()) {
            return;
        }
        reportPasses(
                parts.stream()
                        .filter(each -> view.isWatched(service, each))
                        .map(each -> new PartPass(service, each, 0))
                        .toList(),
                now);
    }

    /**
     * Reports that an answer broke off, if its server has ended.
     *
     * @param onDone run once the report was answered where that may keep the call from another server, else at once
     */
    void reportBroken(BrokenAnswer answer, Runnable onDone) {
        long brokenAtNanos = clock.nanos();
        Runnable onFirstCheck = answer.mayBeOfSharedPart() || isKnownToEndServers(answer) ? onDone : goOn(onDone);
        crashCheck.check(answer.target(), finding -> {
            if (finding != CrashCheck.Finding.ACCEPTS_CONNECTIONS) {
                conclude(answer, finding, brokenAtNanos, onFirstCheck);
                return;
            }
            Runnable onSecondCheck = isKnownToEndServers(answer) ? onFirstCheck : goOn(onFirstCheck);
            crashCheck.checkAgain(answer.target(), second -> conclude(answer, second, brokenAtNanos, onSecondCheck));
        });
    }

    /** Lets a call go on now. Returns what is left to do for it later: nothing. */
    private static Runnable goOn(Runnable call) {
        call.run();
        return () -> {};
    }

    private void conclude(BrokenAnswer answer, CrashCheck.Finding finding, long brokenAtNanos, Runnable onDone) {
        logBroken(answer, finding);
        if (!finding.showsEnd() && !hasEndedLikeOthers(answer, finding)) {
            watch(answer);
            onDone.run();
            return;
        }
        reportCrash(answer, finding, (clock.nanos() - brokenAtNanos) / NANOS_PER_MILLI, onDone);
        endWatch.resolve(answer.serverStart(), finding);
    }

    private void reportCrash(BrokenAnswer answer, CrashCheck.Finding finding, long ageMillis, Runnable onDone) {
        logEnded(answer, finding, ageMillis);
        answer.parts().setEndedServer();
        ServerCrash crash = finding.showsEnd() ? answer.crash(ageMillis) : answer.crashOfRequest(ageMillis);
        crashes.inc();
        reporter.reportCrash(crash, passLog.latest(crash.service(), crash.parts(), clock.nanos()), onDone);
    }

    /** Records that a server has sent part of an answer. */
    void recordLife(ServerStart server) {
        endWatch.recordLife(server);
    }

    /** Watches the server of an answer that ended early or is silent, for an end that shows later. */
    void watch(BrokenAnswer answer) {
        endWatch.add(answer);
    }

    private void onServerEnded(BrokenAnswer answer, CrashCheck.Finding finding, long ageMillis) {
        reportCrash(answer, finding, ageMillis, () -> {});
    }

    private void logEnded(BrokenAnswer answer, CrashCheck.Finding finding, long ageMillis) {
        log.line("server ended under a request")
                .with("request", answer.requestId())
                .with("server", answer.target().server())
                .with("born", answer.serverStart().bornMillis())
                .with("finding", finding)
                .with("sinceAnswerMs", ageMillis)
                .with("attemptEnd", answer.end())
                .with("parts", answer.parts().shared())
                .with("content", answer.request())
                .write();
    }

    /** A request that is known to end servers may have ended all that a small service has. */
    private boolean hasEndedLikeOthers(BrokenAnswer answer, CrashCheck.Finding finding) {
        return finding == CrashCheck.Finding.REFUSES_LIKE_OTHERS && isKnownToEndServers(answer);
    }

    private boolean isKnownToEndServers(BrokenAnswer answer) {
        return answer.parts().hasEndedServer() || view.isWatched(answer.service(), answer.request());
    }

    private void logBroken(BrokenAnswer answer, CrashCheck.Finding finding) {
        log.line(answer.atBeginning() ? "answer broke off at its beginning" : "answer broke off")
                .with("request", answer.requestId())
                .with("server", answer.target().server())
                .with("serverEnded", finding == CrashCheck.Finding.ENDED)
                .with("finding", finding)
                .with("parts", answer.parts().shared())
                .with("content", answer.request())
                .write();
    }
}
