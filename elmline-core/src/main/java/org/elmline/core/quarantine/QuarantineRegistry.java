package org.elmline.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.quarantine.QuarantineRecord.Key;

/**
 * Decides on one control host which groups of parts are quarantined. All control hosts get the reports of all entries
 * that reach them and decide alike without a quorum; they merge each other's records, of which later revisions hold.
 * Only the leader of the control hosts grants trials, so that there is one at a time. Times named {@code now} are
 * monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class QuarantineRegistry {
    /** Shortest suspicion: within it, answers that show a part to be sound are reported. */
    private static final long CONFIRMATION_NANOS = Duration.ofMillis(250).toNanos();

    private static final long UNUSED_NANOS = Duration.ofDays(1).toNanos();

    private static final int MAX_RESTRICTED = 64;
    private static final int MAX_RECORDS = 256;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final CrashEvidence evidence = new CrashEvidence();
    private final Map<Key, QuarantineCase> cases = new LinkedHashMap<>();
    private final Map<ServiceName, Long> lastPassNanos = new HashMap<>();
    private long changes;
    private long lastRecordChange;

    /** Number of the latest change. */
    public long changeNumber() {
        return changes;
    }

    /** Number of the latest change of a record, which entries must know at once; other changes concern evidence only. */
    public long lastRecordChange() {
        return lastRecordChange;
    }

    private void countRecordChange() {
        lastRecordChange = ++changes;
    }

    /** Applies what an entry reports. Passes come first: they may void what a crash seems to show. */
    public void apply(EvidenceReport report, boolean leads, long now) {
        report.passes().forEach(each -> applyPass(each, now));
        report.crashes().forEach(each -> applyCrash(each, now));
        report.demands().forEach(each -> applyDemand(each, report.entry(), leads, now));
    }

    private void applyPass(PartPass pass, long now) {
        long atNanos = now - pass.ageMillis() * NANOS_PER_MILLI;
        lastPassNanos.merge(pass.service(), atNanos, (a, b) -> a - b >= 0 ? a : b);
        if (pass.part() == null) {
            return;
        }
        evidence.addPass(pass.service(), pass.part(), atNanos);
        for (QuarantineCase each : List.copyOf(cases.values())) {
            boolean concerned = each.restricts()
                    && !each.byOperator()
                    && each.quarantine.service().equals(pass.service())
                    && each.quarantine.group().parts().contains(pass.part())
                    && atNanos - (each.sinceNanos - CrashEvidence.PASS_VALIDITY_NANOS) > 0;
            if (concerned) {
                narrow(each, pass.part(), now);
            }
        }
    }

    private void narrow(QuarantineCase known, PromptPart sound, long now) {
        QuarantineRecord wide = known.quarantine;
        PartGroup rest = wide.group().without(sound);
        if (rest.isEmpty()) {
            release(known, QuarantineReason.ANSWERED, now);
            judgeRequests(wide.service(), now);
            return;
        }
        release(known, QuarantineReason.NARROWED, now);
        QuarantineCase narrowed = restrict(wide.service(), rest, wide.stage(), QuarantineReason.CRASHES, now);
        narrowed.sinceNanos = known.sinceNanos;
        narrowed.lastCrashNanos = known.lastCrashNanos;
        narrowed.nextTrialNanos = known.nextTrialNanos;
        judgeRequests(wide.service(), now);
    }

    private void applyCrash(ServerCrash crash, long now) {
        if (!evidence.addCrash(crash, now)) {
            return;
        }
        changes++;
        for (QuarantineCase each : cases.values()) {
            QuarantineRecord known = each.quarantine;
            if (each.restricts()
                    && known.service().equals(crash.service())
                    && known.group().isContainedIn(crash.parts())) {
                each.lastCrashNanos = now;
                endTrial(each, now);
            }
        }
        boolean released = releaseExplained(crash.service(), now);
        evidence.suspect(crash, restrictedGroupsOfParts(crash.service()))
                .ifPresent(group ->
                        restrict(crash.service(), group, QuarantineStage.SUSPECTED, QuarantineReason.CRASHES, now));
        crash.wholeRequest().ifPresent(each -> judgeRequest(crash.service(), PartGroup.of(List.of(each)), now));
        if (released) {
            judgeRequests(crash.service(), now);
        }
        quarantineProven(now);
    }

    /** Judges requests again, as the group that explained the ends of their servers may restrict them no more. */
    private void judgeRequests(ServiceName service, long now) {
        evidence.requestsUnderWhichEnded(service, Threshold.QUARANTINE_REQUEST.servers())
                .forEach(each -> judgeRequest(service, each, now));
    }

    /**
     * A request that has ended a server is refused sooner than a part: it concerns its own caller alone. Servers that a
     * restricted group explains don't count: a sound request would be refused that lost them beside its prompts.
     */
    private void judgeRequest(ServiceName service, PartGroup request, long now) {
        if (current(service, request).stage() == QuarantineStage.QUARANTINED) {
            return;
        }
        Collection<PartGroup> known = restrictedGroupsOfParts(service);
        CrashEvidence.Support support = evidence.unexplainedSupport(service, request, known);
        if (Threshold.QUARANTINE_REQUEST.isReachedBy(support)) {
            restrict(service, request, QuarantineStage.QUARANTINED, QuarantineReason.CRASHES, now);
        } else if (isSuspectRequest(service, request, known, support)) {
            restrict(service, request, QuarantineStage.SUSPECTED, QuarantineReason.CRASHES, now);
        }
    }

    private boolean isSuspectRequest(ServiceName service, PartGroup request) {
        Collection<PartGroup> known = restrictedGroupsOfParts(service);
        return isSuspectRequest(service, request, known, evidence.unexplainedSupport(service, request, known));
    }

    private boolean isSuspectRequest(
            ServiceName service, PartGroup request, Collection<PartGroup> known, CrashEvidence.Support support) {
        return Threshold.SUSPECT_REQUEST.isReachedBy(support) && !evidence.endedUnderAnother(service, request, known);
    }

    /**
     * Releases what is not suspect any more: of several calls that one server ended, that of the cause may be reported
     * last. Returns whether a group of parts was released.
     */
    private boolean releaseExplained(ServiceName service, long now) {
        boolean released = false;
        for (QuarantineCase each : List.copyOf(cases.values())) {
            QuarantineRecord known = each.quarantine;
            if (each.isIn(QuarantineStage.SUSPECTED) && known.service().equals(service) && !isStillSuspect(each)) {
                release(each, QuarantineReason.EXPLAINED, now);
                released |= !each.isRequest();
            }
        }
        return released;
    }

    private boolean isStillSuspect(QuarantineCase suspected) {
        ServiceName service = suspected.quarantine.service();
        PartGroup group = suspected.quarantine.group();
        return suspected.isRequest()
                ? isSuspectRequest(service, group)
                : Threshold.SUSPECT_AGAIN.isReachedBy(evidence.support(service, group))
                        && !evidence.hasLargerCause(service, group);
    }

    private Collection<PartGroup> restrictedGroupsOfParts(ServiceName service) {
        return cases.values().stream()
                .filter(each -> each.restricts() && !each.isRequest())
                .filter(each -> each.quarantine.service().equals(service))
                .map(each -> each.quarantine.group())
                .toList();
    }

    private void endTrial(QuarantineCase known, long now) {
        QuarantineRecord held = known.quarantine;
        if (held.trialEntry() == null) {
            return;
        }
        known.quarantine =
                held.withoutTrial(evidence.support(held.service(), held.group()).servers());
        known.scheduleTrial(now);
        countRecordChange();
    }

    private void applyDemand(GroupDemand demand, HostId entry, boolean leads, long now) {
        QuarantineCase known = cases.get(new Key(demand.service(), demand.group()));
        if (known == null) {
            return;
        }
        known.lastDemandNanos = now;
        if (leads && known.isTrialDue(now)) {
            known.quarantine = known.quarantine.withTrial(entry);
            known.trialSinceNanos = now;
            countRecordChange();
        }
    }

    /** Puts a group into a stage that restricts calls, unless it is in that stage. */
    private QuarantineCase restrict(
            ServiceName service, PartGroup group, QuarantineStage stage, QuarantineReason reason, long now) {
        QuarantineCase known = cases.get(new Key(service, group));
        if (known != null && known.quarantine.stage() == stage) {
            return known;
        }
        int servers = evidence.support(service, group).servers();
        QuarantineCase next = new QuarantineCase(current(service, group).next(stage, reason, servers), now);
        next.scheduleTrial(now);
        put(next, now);
        return next;
    }

    private QuarantineRecord current(ServiceName service, PartGroup group) {
        QuarantineCase known = cases.get(new Key(service, group));
        return known == null ? QuarantineRecord.unrestricted(service, group) : known.quarantine;
    }

    private void put(QuarantineCase next, long now) {
        cases.remove(next.quarantine.key());
        cases.put(next.quarantine.key(), next);
        countRecordChange();
        evict(now);
    }

    private void evict(long now) {
        List<QuarantineCase> restricted =
                cases.values().stream().filter(QuarantineCase::restricts).toList();
        if (restricted.size() > MAX_RESTRICTED) {
            leastNeeded(restricted, now).ifPresent(each -> release(each, QuarantineReason.EVICTED, now));
        }
        if (cases.size() > MAX_RECORDS) {
            cases.values().stream()
                    .filter(each -> !each.restricts())
                    .findFirst()
                    .ifPresent(each -> cases.remove(each.quarantine.key()));
        }
    }

    /** Requests go first: each concerns one caller, and a loss of many servers makes many of them suspect. */
    private static Optional<QuarantineCase> leastNeeded(List<QuarantineCase> restricted, long now) {
        return restricted.stream()
                .filter(each -> !each.byOperator())
                .max(Comparator.comparing(QuarantineCase::isRequest).thenComparing(each -> now - each.lastDemandNanos));
    }

    private void release(QuarantineCase known, QuarantineReason reason, long now) {
        QuarantineCase released = new QuarantineCase(known.quarantine.next(QuarantineStage.RELEASED, reason, 0), now);
        if (reason.clearsEvidence()) {
            evidence.clear(known.quarantine.service(), known.quarantine.group(), now);
        }
        put(released, now);
    }

    /** To be called often: ends suspicions one way or the other, and trials without a result. */
    public void tick(long now) {
        quarantineProven(now);
        for (QuarantineCase each : List.copyOf(cases.values())) {
            if (each.isSuspicionOver(now)) {
                release(each, QuarantineReason.NO_FURTHER_CRASH, now);
                judgeRequests(each.quarantine.service(), now);
            } else if (each.isIn(QuarantineStage.QUARANTINED)
                    && !each.byOperator()
                    && now - each.lastDemandNanos >= UNUSED_NANOS) {
                release(each, QuarantineReason.UNUSED, now);
            } else if (each.isTrialOver(now)) {
                endTrial(each, now);
            } else if (each.isReleaseOver(now)) {
                cases.remove(each.quarantine.key());
            }
        }
    }

    private void quarantineProven(long now) {
        for (QuarantineCase each : List.copyOf(cases.values())) {
            if (each.isIn(QuarantineStage.SUSPECTED) && now - each.sinceNanos >= CONFIRMATION_NANOS && isProven(each)) {
                restrict(
                        each.quarantine.service(),
                        each.quarantine.group(),
                        QuarantineStage.QUARANTINED,
                        QuarantineReason.CRASHES,
                        now);
            }
        }
    }

    /**
     * One server more is needed when none has ended since calls are held: the trial's, or that of a call sent before.
     * While no answer of a service goes on, its servers may crash whatever the prompt.
     */
    private boolean isProven(QuarantineCase suspected) {
        QuarantineRecord known = suspected.quarantine;
        Long passed = lastPassNanos.get(known.service());
        boolean othersPass = passed != null && passed - (suspected.sinceNanos - CrashEvidence.PASS_VALIDITY_NANOS) > 0;
        boolean likelySound = !othersPass || evidence.hasPassedBefore(known.service(), known.group());
        boolean crashedSince = suspected.lastCrashNanos - suspected.sinceNanos > 0;
        return Threshold.toQuarantine(likelySound)
                .isReachedBy(evidence.support(known.service(), known.group()), crashedSince ? 0 : 1);
    }

    /** Merges the records of another control host, or restored ones. */
    public void merge(List<QuarantineRecord> records, long now) {
        for (QuarantineRecord each : records) {
            QuarantineCase known = cases.get(each.key());
            if (known == null || each.supersedes(known.quarantine)) {
                adopt(each, now);
            }
        }
    }

    private void adopt(QuarantineRecord other, long now) {
        QuarantineCase adopted = new QuarantineCase(other, now);
        QuarantineCase known = cases.get(other.key());
        if (known != null && known.quarantine.stage() == other.stage()) {
            adopted.sinceNanos = known.sinceNanos;
            adopted.lastCrashNanos = known.lastCrashNanos;
            adopted.lastDemandNanos = known.lastDemandNanos;
        }
        adopted.nextTrialNanos = now + Math.max(0, other.untilTrialMillis()) * NANOS_PER_MILLI;
        if (!other.stage().restricts() && other.reason().clearsEvidence()) {
            evidence.clear(other.service(), other.group(), now);
        }
        put(adopted, now);
    }

    /** Quarantines a group until an operator releases it. */
    public void quarantineByOperator(ServiceName service, PartGroup group, long now) {
        QuarantineRecord decided =
                current(service, group).next(QuarantineStage.QUARANTINED, QuarantineReason.OPERATOR, 0);
        put(new QuarantineCase(decided.overriding(), now), now);
    }

    /** Releases a group. Returns false when it is not restricted. */
    public boolean releaseByOperator(ServiceName service, PartGroup group, long now) {
        QuarantineCase known = cases.get(new Key(service, group));
        if (known == null || !known.restricts()) {
            return false;
        }
        known.quarantine = known.quarantine.overriding();
        release(known, QuarantineReason.OPERATOR, now);
        return true;
    }

    /** All that entries and other control hosts need. */
    public QuarantineNews news(long now) {
        return new QuarantineNews(changes, records(now), evidence.suspects());
    }

    /** All records, with the times that remain now. */
    public List<QuarantineRecord> records(long now) {
        List<QuarantineRecord> records = new ArrayList<>();
        cases.values().forEach(each -> records.add(each.quarantine.withUntilTrial(each.untilTrialMillis(now))));
        return records;
    }
}
