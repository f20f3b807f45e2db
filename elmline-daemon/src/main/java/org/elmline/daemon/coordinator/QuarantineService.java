package org.elmline.daemon.coordinator;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.quarantine.EvidenceReport;
import org.elmline.core.quarantine.PartGroup;
import org.elmline.core.quarantine.QuarantineNews;
import org.elmline.core.quarantine.QuarantineRecord;
import org.elmline.core.quarantine.QuarantineRegistry;
import org.elmline.core.quarantine.QuarantineStage;
import org.elmline.core.quarantine.ServerCrash;
import org.elmline.daemon.log.DecisionLog;
import org.elmline.daemon.operator.QuarantineControl;

/**
 * The quarantine on a control host: takes reports, logs and counts decisions, and persists the records. Thread-safe: one
 * lock, under which nothing else is called that locks.
 */
final class QuarantineService implements QuarantineControl {
    /** Shortest interval between two writes of the records. */
    private static final long MIN_WRITE_INTERVAL_NANOS = Duration.ofMillis(250).toNanos();

    private final QuarantineRegistry registry = new QuarantineRegistry();
    private final MonotonicClock clock;
    private final BooleanSupplier leads;
    private final PersistedValue<PersistedQuarantine> persisted;
    private final Counter crashes;
    private final DecisionLog log;
    private final Map<String, QuarantineStage> loggedStages = new HashMap<>();
    private long persistedChanges;
    private long persistedAtNanos;
    private long loggedChanges;

    /** @param leads whether this host leads the control hosts, and so grants trials */
    QuarantineService(
            MonotonicClock clock,
            BooleanSupplier leads,
            PersistedValue<PersistedQuarantine> persisted,
            MetricRegistry metrics,
            DecisionLog log) {
        this.clock = clock;
        this.leads = leads;
        this.persisted = persisted;
        this.crashes = metrics.counter("quarantine.crashes");
        this.log = log;
        metrics.gauge("quarantine.suspected", () -> () -> count(QuarantineStage.SUSPECTED));
        metrics.gauge("quarantine.quarantined", () -> () -> count(QuarantineStage.QUARANTINED));
        List<QuarantineRecord> restored =
                persisted.read().map(PersistedQuarantine::records).orElse(List.of());
        registry.merge(restored, clock.nanos());
        logChanges();
    }

    private synchronized long count(QuarantineStage stage) {
        return registry.records(clock.nanos()).stream()
                .filter(each -> each.stage() == stage)
                .count();
    }

    /** Applies what an entry reports. Returns all that this host holds then. */
    synchronized QuarantineNews apply(EvidenceReport report) {
        long now = clock.nanos();
        report.crashes().forEach(each -> logCrash(report, each));
        registry.merge(report.records(), now);
        registry.apply(report, leads.getAsBoolean(), now);
        logChanges();
        return registry.news(now);
    }

    private void logCrash(EvidenceReport report, ServerCrash crash) {
        crashes.inc();
        log.line("server crash reported")
                .with("entry", report.entry())
                .with("request", crash.request())
                .with("service", crash.service())
                .with("server", crash.server())
                .with("born", crash.bornMillis())
                .with("ageMs", crash.ageMillis())
                .with("parts", crash.parts())
                .write();
    }

    /** Merges the records of another control host. */
    synchronized void merge(List<QuarantineRecord> records) {
        registry.merge(records, clock.nanos());
        logChanges();
    }

    synchronized void tick() {
        long now = clock.nanos();
        registry.tick(now);
        logChanges();
        boolean changed = registry.changeNumber() != persistedChanges || persisted.lastWriteFailed();
        boolean due = changed && now - persistedAtNanos >= MIN_WRITE_INTERVAL_NANOS;
        if (due && persisted.tryWrite(new PersistedQuarantine(lastingRecords(now)))) {
            persistedChanges = registry.changeNumber();
            persistedAtNanos = now;
        }
    }

    /** A suspicion ends within seconds, and the evidence for it is not persisted. */
    private List<QuarantineRecord> lastingRecords(long now) {
        return registry.records(now).stream()
                .filter(each -> each.stage() != QuarantineStage.SUSPECTED)
                .toList();
    }

    private void logChanges() {
        if (registry.changeNumber() == loggedChanges) {
            return;
        }
        loggedChanges = registry.changeNumber();
        Map<String, QuarantineStage> stages = new HashMap<>();
        for (QuarantineRecord each : registry.records(clock.nanos())) {
            String key = each.service() + " " + each.group() + " " + each.trialEntry();
            stages.put(key, each.stage());
            if (loggedStages.get(key) != each.stage()) {
                log.line("quarantine changed")
                        .with("service", each.service())
                        .with("group", each.group())
                        .with("stage", each.stage())
                        .with("reason", each.reason())
                        .with("servers", each.servers())
                        .with("trials", each.trials())
                        .with("trialEntry", each.trialEntry())
                        .with("untilTrialMs", each.untilTrialMillis())
                        .with("revision", each.revision())
                        .write();
            }
        }
        loggedStages.clear();
        loggedStages.putAll(stages);
    }

    synchronized long lastRecordChange() {
        return registry.lastRecordChange();
    }

    synchronized long changeNumber() {
        return registry.changeNumber();
    }

    /** All that this host holds, null when the number of its latest change is this one. */
    synchronized QuarantineNews newsSince(long number) {
        return registry.changeNumber() == number ? null : registry.news(clock.nanos());
    }

    @Override
    public synchronized List<QuarantineRecord> records() {
        return registry.records(clock.nanos());
    }

    @Override
    public synchronized void quarantine(ServiceName service, PartGroup group) {
        registry.quarantineByOperator(service, group, clock.nanos());
        logChanges();
    }

    @Override
    public synchronized boolean release(ServiceName service, PartGroup group) {
        boolean released = registry.releaseByOperator(service, group, clock.nanos());
        logChanges();
        return released;
    }
}
