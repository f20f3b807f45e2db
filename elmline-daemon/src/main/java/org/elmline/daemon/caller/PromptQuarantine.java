package org.elmline.daemon.caller;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.HostId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.control.HostRecord;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.quarantine.EvidenceReport;
import org.elmline.core.quarantine.GroupDemand;
import org.elmline.core.quarantine.PartGroup;
import org.elmline.core.quarantine.PartPass;
import org.elmline.core.quarantine.PassLog;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.QuarantineChannels;
import org.elmline.core.quarantine.QuarantineNews;
import org.elmline.core.quarantine.QuarantineRecord;
import org.elmline.core.quarantine.QuarantineRegistry;
import org.elmline.core.quarantine.QuarantineStage;
import org.elmline.core.quarantine.QuarantineView;
import org.elmline.core.quarantine.ServerCrash;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.LeasedView;
import org.elmline.daemon.operator.QuarantineControl;
import org.jboss.logging.Logger;

/**
 * The quarantine of prompt prefixes that crash engines. Every entry gets the reports of all entries and decides alike;
 * the entry with the lowest id grants trials, to itself. It is lost when all entries stop. Thread-safe.
 */
public final class PromptQuarantine implements QuarantineControl {
    private static final Logger LOG = Logger.getLogger(PromptQuarantine.class);
    private static final Duration SEND_TIMEOUT = Duration.ofSeconds(1);
    private static final long TICK_MILLIS = 50;

    private final HostIdentity self;
    private final LeasedView leasedView;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final QuarantineRegistry registry = new QuarantineRegistry();
    private final QuarantineView view;
    private final PassLog passLog = new PassLog();
    private final MetricRegistry metrics;
    private final Counter crashes;
    private long appliedChanges;

    public PromptQuarantine(
            HostIdentity self,
            LeasedView leasedView,
            PeerNetwork network,
            MonotonicClock clock,
            MetricRegistry metrics) {
        this.self = self;
        this.leasedView = leasedView;
        this.network = network;
        this.clock = clock;
        this.view = new QuarantineView(self.host());
        this.metrics = metrics;
        this.crashes = metrics.counter("quarantine.crashes");
        metrics.gauge("quarantine.groups", () -> this::restrictedGroups);
    }

    private synchronized int restrictedGroups() {
        return view.restricted().size();
    }

    /** Receives the reports of other entries. */
    public void register(HandlerRegistry handlers) {
        handlers.register(QuarantineChannels.REPORT, report -> CompletableFuture.completedFuture(applyReport(report)));
    }

    private synchronized QuarantineNews applyReport(EvidenceReport report) {
        long now = clock.nanos();
        registry.merge(report.records(), now);
        registry.apply(report, false, now);
        applyDecisions(now);
        return registry.news(now);
    }

    private void applyDecisions(long now) {
        registry.tick(now);
        if (registry.changeNumber() == appliedChanges) {
            return;
        }
        appliedChanges = registry.changeNumber();
        for (QuarantineRecord each : view.apply(registry.news(now), now)) {
            LOG.infof(
                    "%s of model %s is %s: %s, %d engines",
                    each.group(),
                    each.service(),
                    each.stage().name().toLowerCase(Locale.ROOT),
                    each.reason(),
                    each.servers());
        }
    }

    /**
     * Decides on one attempt of a call.
     *
     * @param mayTry whether the call may be a trial
     */
    synchronized QuarantineView.Decision decide(ServiceName model, CompletionParts parts, boolean mayTry) {
        long now = clock.nanos();
        applyDecisions(now);
        QuarantineView.Decision decision = view.decide(model, view.compared(model, parts), mayTry, now);
        QuarantineRecord restricting = null;
        if (decision instanceof QuarantineView.Decision.Held held) {
            restricting = held.quarantine();
        } else if (decision instanceof QuarantineView.Decision.Refused refused) {
            restricting = refused.quarantine();
            metrics.counter("quarantine.calls.refused").inc();
        }
        if (restricting != null) {
            GroupDemand demand = new GroupDemand(restricting.service(), restricting.group());
            registry.apply(
                    new EvidenceReport(self.host(), List.of(), List.of(), List.of(demand), List.of()),
                    grantsTrials(),
                    now);
        }
        return decision;
    }

    private boolean grantsTrials() {
        return leasedView.members().hosts().stream()
                .map(HostRecord::id)
                .min(Comparator.<HostId>naturalOrder())
                .map(self.host()::equals)
                .orElse(true);
    }

    /** Milliseconds after which a held call is to be decided on again. */
    long retryMillis() {
        return TICK_MILLIS;
    }

    /** Records an answer that went on past its beginning, or is complete. */
    void recordPass(ServiceName model, List<PromptPart> prefixes) {
        List<PartPass> watched = new ArrayList<>();
        synchronized (this) {
            passLog.record(model, prefixes, clock.nanos());
            prefixes.stream()
                    .filter(each -> view.isWatched(model, each))
                    .forEach(each -> watched.add(new PartPass(model, each, 0)));
        }
        if (!watched.isEmpty()) {
            report(new EvidenceReport(self.host(), List.of(), watched, List.of(), List.of()));
        }
    }

    /**
     * Records a complete answer: the request does not end the engine that runs it.
     *
     * @param hasEndedEngine whether the request is known to have ended an engine
     */
    void recordAnswered(ServiceName model, CompletionParts parts, boolean hasEndedEngine) {
        boolean concerned;
        synchronized (this) {
            concerned = hasEndedEngine || view.restricts(model, parts);
        }
        if (concerned) {
            PartPass pass = new PartPass(model, parts.request(), 0);
            report(new EvidenceReport(self.host(), List.of(), List.of(pass), List.of(), List.of()));
        }
    }

    /** Records an engine that has ended before an answer was complete. */
    void recordCrash(ServerCrash crash) {
        crashes.inc();
        LOG.infof("engine %s ended before its answer to request %s was complete", crash.server(), crash.request());
        List<PartPass> passes;
        synchronized (this) {
            passes = passLog.latest(crash.service(), crash.parts(), clock.nanos());
        }
        report(new EvidenceReport(self.host(), List.of(crash), passes, List.of(), List.of()));
    }

    private void report(EvidenceReport report) {
        applyReport(report);
        for (HostRecord each : leasedView.members().hosts()) {
            if (!each.id().equals(self.host())) {
                network.call(each.peers(), QuarantineChannels.REPORT, report, SEND_TIMEOUT);
            }
        }
    }

    @Override
    public synchronized List<QuarantineRecord> records() {
        return registry.records(clock.nanos());
    }

    @Override
    public void quarantine(ServiceName model, PartGroup group) {
        synchronized (this) {
            registry.quarantineByOperator(model, group, clock.nanos());
        }
        sendRecords();
    }

    @Override
    public boolean release(ServiceName model, PartGroup group) {
        boolean released;
        synchronized (this) {
            released = registry.releaseByOperator(model, group, clock.nanos());
        }
        sendRecords();
        return released;
    }

    /** A suspicion is each entry's own conclusion from the reports. */
    private void sendRecords() {
        List<QuarantineRecord> decided = records().stream()
                .filter(each -> each.stage() != QuarantineStage.SUSPECTED)
                .toList();
        report(new EvidenceReport(self.host(), List.of(), List.of(), List.of(), decided));
    }
}
