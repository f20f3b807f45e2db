package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiFunction;
import java.util.function.Predicate;

import org.elmline.core.admission.AdmissionMode;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.RoutedService;

/**
 * Decides for one shard of a service where calls run and in which order they wait. Keeps every granted attempt until
 * its end is reported, its entry is gone or no longer runs it, or a retention time after its deadline has passed. Times
 * named {@code now} are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class Dispatcher {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Most calls that may wait; beyond this new calls are refused, as they could hardly meet their deadlines. */
    private static final int MAX_WAITING_CALLS = 512;

    /** Time after a call's deadline for which its grant is kept when its end is not reported. */
    private static final long UNREPORTED_GRANT_RETENTION_NANOS = 2_000 * NANOS_PER_MILLI;

    /**
     * Time for which a new dispatcher without any registered server queues calls: two heartbeats. After a restart of
     * the whole system each server is registered within one heartbeat; if calls were refused sooner, callers would use
     * up their retries.
     */
    private static final long WARM_UP_NANOS = 2_400 * NANOS_PER_MILLI;

    /**
     * Time that a long call waits at a secondary dispatcher, which has records of few running calls. If it placed the
     * call at once, for an entry that lost a packet to the primary, a huge prompt would be prefilled on all engines,
     * and the short calls that the primary has there would be late. Within this time the primary answers again or is
     * found to be gone.
     */
    private static final long SECONDARY_HOLD_NANOS = 1_000 * NANOS_PER_MILLI;

    /**
     * Calls of a class, short or long, that fail to be placed in one tick before the rest of that class is skipped:
     * when all engines are full they would all fail, and trying hundreds every few milliseconds takes more CPU time
     * than the host has.
     */
    private static final int MAX_FAILED_PLACEMENTS = 4;

    /** Shortest retry time given to callers; sooner retries would only add to the queue. */
    private static final long MIN_RETRY_AFTER_MILLIS = 100;

    /** Longest retry time given to callers; a server may have recovered by then. */
    private static final long MAX_RETRY_AFTER_MILLIS = 2_000;

    private final Placement placement;
    private final ServiceRetryBudget retryBudget;
    private final ServerLoads serverLoads = new ServerLoads();
    private final RateLimitEnforcer rateLimits;
    private AdmissionRule admission;
    private final Map<String, ActiveGrant> grants = new HashMap<>();
    private final List<WaitingCall> waiting = new ArrayList<>();
    private final boolean servesEngines;
    private final long warmUpUntilNanos;
    private boolean hasSeenServers;
    private boolean isPrimary = true;
    private long secondarySinceNanos;

    /** @param adopted whether another dispatcher granted it, and counted it in its own retry budget */
    private record ActiveGrant(
            DispatchCall call,
            DispatchAnswer.Granted answer,
            List<ServerLoad> members,
            long expiresAtNanos,
            boolean adopted) {}

    public Dispatcher(RoutedService service, RetryLimit limit, long now) {
        this(service, limit, new ServerRateLimits(), AdmissionMode.SLOTS, now);
    }

    /**
     * @param limits rate limits reported by servers; also updated from attempt reports
     * @param admission in force for a service with engines; others are admitted by slots
     */
    public Dispatcher(
            RoutedService service, RetryLimit limit, ServerRateLimits limits, AdmissionMode admission, long now) {
        this.rateLimits = new RateLimitEnforcer(limits, serverLoads);
        servesEngines = service.timing() != null;
        placement = servesEngines ? new EnginePlacement() : new PlainPlacement();
        this.admission = AdmissionRule.of(servesEngines ? admission : AdmissionMode.SLOTS, placement, rateLimits);
        retryBudget = new ServiceRetryBudget(limit, now);
        warmUpUntilNanos = now + WARM_UP_NANOS;
        secondarySinceNanos = now;
    }

    /** Whether this dispatcher suits the service as it is now configured, with or without engines. */
    public boolean isCompatibleWith(RoutedService service) {
        return servesEngines == (service.timing() != null);
    }

    /**
     * Sets whether this dispatcher is the one that all entries try first, and so has records of all running calls.
     * After all entries have restarted, several of them consider themselves primary until they have received each
     * other's membership; none of them may be set as primary then, or each packs its first short calls on the same
     * engines.
     *
     * @param now monotonic time in nanoseconds
     */
    public void updatePrimary(boolean primary, long now) {
        if (isPrimary && !primary) {
            secondarySinceNanos = now;
        }
        isPrimary = primary;
    }

    /** Replaces the rule of admission, for comparisons of rules. */
    void replaceAdmission(BiFunction<Placement, RateLimitEnforcer, AdmissionRule> rule) {
        admission = rule.apply(placement, rateLimits);
    }

    /** Sets how many entries there are; while they do not agree on a primary, each may send on its own. */
    public void updateEntryCount(int count) {
        rateLimits.entryCount(count);
    }

    /**
     * Whether a long call must wait because this dispatcher lacks records of running calls. Also counted from when it
     * stopped being primary, as entries cancel their grants here from then on: a prompt that had already waited for as
     * long would be placed on engines that only seem to be free.
     */
    private boolean isHeldAsSecondary(WaitingCall waitingCall, long now) {
        long since = Math.max(waitingCall.enqueuedAtNanos(), secondarySinceNanos);
        return !isPrimary && now - since < SECONDARY_HOLD_NANOS;
    }

    /** The limits of cold servers, to be kept up to date by the owner of this dispatcher. */
    public ColdServerLimits coldLimits() {
        return rateLimits.coldLimits();
    }

    /** Updates the servers that may be used now. */
    public void updateServers(RoutedService service, Collection<Registration> usable, long now) {
        hasSeenServers |= !usable.isEmpty();
        serverLoads.update(usable, service.timing(), now);
        rateLimits.onServersChanged();
    }

    /**
     * Places or queues a call. A repeated request for an attempt that waits or runs is answered again, but neither
     * queued nor placed again; one that waits avoids from then on the servers that the repeated request names.
     */
    public DispatchAnswer place(DispatchCall call, long now) {
        ActiveGrant existing = grants.get(call.attempt());
        if (existing != null) {
            return existing.answer();
        }
        int ahead = queuePosition(call.attempt());
        if (ahead >= 0) {
            waiting.set(ahead, waiting.get(ahead).avoiding(call.avoid()));
            return new DispatchAnswer.Queued(call.attempt(), ahead);
        }
        rateLimits.applyChanges(isPrimary, now);
        List<ServerLoad> usable = serverLoads.usable(call.avoid(), now);
        WaitingCall next = WaitingCall.of(call, admission.firstMillis(call, usable), now);
        Optional<DispatchAnswer> refusal = refusal(next, usable, now);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        if (!usable.isEmpty() && isNextOfItsKind(next, usable, now)) {
            Optional<DispatchAnswer> granted = tryPlace(next, usable, now);
            if (granted.isPresent()) {
                return granted.get();
            }
        }
        waiting.add(next);
        return new DispatchAnswer.Queued(call.attempt(), waiting.size() - 1);
    }

    /**
     * Whether no waiting call of the same class, short or long, precedes this one. A call that is not first is left to
     * the next tick: otherwise each new call would have all waiting ones examined, and in a burst the dispatching host
     * would process no other messages for a second.
     */
    private boolean isNextOfItsKind(WaitingCall next, List<ServerLoad> usable, long now) {
        boolean isLong = placement.isLong(next.call(), usable);
        Comparator<WaitingCall> order = WaitingCall.placementOrder(now);
        for (WaitingCall each : waiting) {
            if (order.compare(each, next) <= 0 && placement.isLong(each.call(), usable) == isLong) {
                return false;
            }
        }
        return true;
    }

    /** Places a call if possible; otherwise, if the call is long, reserves engines for it. */
    private Optional<DispatchAnswer> tryPlace(WaitingCall next, List<ServerLoad> usable, long now) {
        boolean isLong = placement.isLong(next.call(), usable);
        if (isLong && isHeldAsSecondary(next, now)) {
            return Optional.empty();
        }
        DispatchCall call = next.callAt(now);
        Optional<PlacementPlan> plan = rateLimits.plan(placement, call, usable, !isPrimary, now);
        if (plan.isEmpty() && isLong) {
            LongPromptReservation.reserve(usable, placement, now);
        }
        return plan.map(each -> {
            rateLimits.recordGrant(call, each, usable, now);
            return grant(next, call, each, now);
        });
    }

    private int queuePosition(String attempt) {
        for (int i = 0; i < waiting.size(); i++) {
            if (waiting.get(i).call().attempt().equals(attempt)) {
                return i;
            }
        }
        return -1;
    }

    private Optional<DispatchAnswer> refusal(WaitingCall next, List<ServerLoad> usable, long now) {
        DispatchCall call = next.call();
        if (usable.isEmpty()) {
            return isWarmingUp(now)
                    ? Optional.empty()
                    : refuse(call, DispatchAnswer.RefusalCause.NO_SERVER, MIN_RETRY_AFTER_MILLIS);
        }
        AdmissionRule.Prediction prediction = admission.predictNew(next, waiting, usable, now);
        long waitMillis = (long) prediction.retryAfterMillis();
        if (waiting.size() >= MAX_WAITING_CALLS) {
            return refuse(call, DispatchAnswer.RefusalCause.QUEUE_FULL, waitMillis);
        }
        if (servesEngines && call.memoryTokens() > ServerLoads.totalMemoryTokens(usable)) {
            return refuse(call, DispatchAnswer.RefusalCause.TOO_LARGE, MAX_RETRY_AFTER_MILLIS);
        }
        if (prediction.isTooLate()) {
            return refuse(call, DispatchAnswer.RefusalCause.TOO_LATE, waitMillis);
        }
        if (call.repeated() && !retryBudget.tryAcquireRetry(now)) {
            return refuse(call, DispatchAnswer.RefusalCause.RETRY_BUDGET, MAX_RETRY_AFTER_MILLIS);
        }
        if (!call.repeated()) {
            retryBudget.recordFirstSend(now);
        }
        return Optional.empty();
    }

    private boolean isWarmingUp(long now) {
        return !hasSeenServers && now - warmUpUntilNanos < 0;
    }

    private static Optional<DispatchAnswer> refuse(DispatchCall call, DispatchAnswer.RefusalCause why, long millis) {
        long retryAfterMillis = Math.max(MIN_RETRY_AFTER_MILLIS, Math.min(MAX_RETRY_AFTER_MILLIS, millis));
        return Optional.of(new DispatchAnswer.Refused(call.attempt(), why, retryAfterMillis));
    }

    /**
     * Expires grants and tries to place waiting calls. Returns the decisions, which are to be sent to the calls'
     * entries.
     */
    public List<DispatchAnswer> tick(long now) {
        expireGrants(now);
        rateLimits.applyChanges(isPrimary, now);
        List<DispatchAnswer> decided = new ArrayList<>();
        List<ServerLoad> all = serverLoads.usable(List.of(), now);
        waiting.sort(WaitingCall.placementOrder(now));
        admission.beginPass(waiting, all, now);
        int shortMisses = 0;
        int longMisses = 0;
        int ahead = 0;
        Iterator<WaitingCall> each = waiting.iterator();
        while (each.hasNext()) {
            WaitingCall next = each.next();
            List<BackendServerId> avoid = next.call().avoid();
            List<ServerLoad> usable = avoid.isEmpty() ? all : serverLoads.usable(avoid, now);
            if (usable.isEmpty() && isWarmingUp(now) && next.deadlineLeftMillis(now) > 0) {
                continue;
            }
            Optional<DispatchAnswer> refusal = refusalOfWaiting(next, usable, ahead, now);
            if (refusal.isPresent()) {
                each.remove();
                retryBudget.takeBack(next.call().repeated(), now);
                decided.add(refusal.get());
                continue;
            }
            ahead++;
            boolean isLong = placement.isLong(next.call(), usable);
            if ((isLong ? longMisses : shortMisses) >= MAX_FAILED_PLACEMENTS) {
                continue;
            }
            Optional<DispatchAnswer> granted = tryPlace(next, usable, now);
            if (granted.isPresent()) {
                each.remove();
                ahead--;
                decided.add(granted.get());
            } else if (isLong) {
                longMisses += isHeldAsSecondary(next, now) ? 0 : 1;
            } else {
                shortMisses += rateLimits.isWithoutShare(next.call(), usable, now) ? 0 : 1;
            }
        }
        return decided;
    }

    private Optional<DispatchAnswer> refusalOfWaiting(WaitingCall next, List<ServerLoad> usable, int ahead, long now) {
        if (usable.isEmpty()) {
            return refuse(next.call(), DispatchAnswer.RefusalCause.NO_SERVER, MIN_RETRY_AFTER_MILLIS);
        }
        AdmissionRule.Prediction prediction = admission.predictWaiting(next, ahead, usable, now);
        return prediction.isTooLate()
                ? refuse(next.call(), DispatchAnswer.RefusalCause.TOO_LATE, (long) prediction.retryAfterMillis())
                : Optional.empty();
    }

    private DispatchAnswer grant(WaitingCall waitingCall, DispatchCall call, PlacementPlan plan, long now) {
        ServerLoad primary = plan.primary();
        List<Helper> helpers = new ArrayList<>();
        for (int i = 1; i < plan.members().size(); i++) {
            Registration member = plan.members().get(i).registration();
            helpers.add(new Helper(
                    member.id(), member.address(), plan.memoryTokens().get(i)));
        }
        DispatchAnswer.Granted answer = new DispatchAnswer.Granted(
                call.attempt(),
                primary.registration().id(),
                primary.registration().address(),
                helpers,
                (long) plan.firstMillis(),
                (long) (plan.firstMillis() + placement.serviceMillis(call, plan.members())),
                servesEngines ? (long) primary.backlogMillis(now) : 0,
                primary.running(),
                !rateLimits.coldLimits().isShared());
        for (int i = 0; i < plan.members().size(); i++) {
            Allocation allocation = new Allocation(
                    call,
                    i == 0,
                    servesEngines ? plan.partPrefillMillis() : 0,
                    plan.memoryTokens().get(i));
            plan.members().get(i).grant(allocation, now);
        }
        grants.put(
                call.attempt(),
                new ActiveGrant(
                        call,
                        answer,
                        plan.members(),
                        waitingCall.deadlineNanos() + UNREPORTED_GRANT_RETENTION_NANOS,
                        false));
        return answer;
    }

    /**
     * Records the first token, a silence or the end of an attempt. A report of an attempt that still waits removes it
     * from the queue; one of an attempt that is unknown or has ended changes nothing.
     */
    public void report(AttemptReport report, long now) {
        ActiveGrant granted = grants.get(report.attempt());
        if (granted == null) {
            removeWaiting(each -> each.attempt().equals(report.attempt()), now);
            return;
        }
        if (report.limit() != null) {
            rateLimits.update(granted.answer().server(), report.limit(), now);
        }
        if (report.leaving()) {
            granted.members().get(0).markLeaving();
        }
        if (report.silent()) {
            granted.members().get(0).health().record(AttemptEnd.SILENT, now);
            return;
        }
        if (report.end() == null) {
            granted.members().forEach(each -> each.startDecoding(report.attempt(), now));
            return;
        }
        grants.remove(report.attempt());
        if (!granted.adopted() && !report.end().mayHaveReachedServer()) {
            retryBudget.takeBack(granted.call().repeated(), now);
        }
        if (report.faultyHelper() == null) {
            granted.members().get(0).health().record(report.end(), now);
        } else {
            granted.members().stream()
                    .filter(each -> each.registration().id().equals(report.faultyHelper()))
                    .forEach(each -> each.health().recordUnreachable(now));
        }
        granted.members().forEach(each -> each.end(report.attempt(), now));
    }

    /**
     * Removes grants that an entry no longer runs: ends of calls while this process was suspended were not received.
     * Such calls would count until their deadlines have passed, and new ones would wait although slots are free.
     *
     * @param incarnation incarnation of the entry; no call of an earlier one still runs
     */
    public void reconcileGrants(HostId host, long incarnation, List<OpenGrant> open, long now) {
        Set<String> running = new HashSet<>();
        open.forEach(each -> running.add(each.call().attempt()));
        cancelGrants(
                each -> each.call().host().equals(host)
                        && each.call().incarnation() <= incarnation
                        && !running.contains(each.call().attempt()),
                now);
    }

    private void cancelGrants(Predicate<ActiveGrant> condition, long now) {
        List<ActiveGrant> cancelled = grants.values().stream().filter(condition).toList();
        cancelled.forEach(each -> report(new AttemptReport(each.call().attempt(), AttemptEnd.CANCELLED), now));
    }

    /** Counts a request of an entry that another dispatcher of this service has just granted. */
    public void recordRemoteSend(BackendServerId server, HostId entry, long now) {
        rateLimits.applyChanges(isPrimary, now);
        Optional.ofNullable(serverLoads.find(server)).ifPresent(each -> rateLimits.recordRemoteSend(each, entry, now));
    }

    /** Records a grant of another dispatcher of this service, whose slot would otherwise be counted as free. */
    public void adopt(OpenGrant open, long now) {
        DispatchCall call = open.call();
        if (grants.containsKey(call.attempt())) {
            return;
        }
        List<ServerLoad> members = new ArrayList<>();
        ServerLoad primary = serverLoads.find(open.granted().server());
        if (primary == null) {
            return;
        }
        members.add(primary);
        for (Helper each : open.granted().helpers()) {
            Optional.ofNullable(serverLoads.find(each.server())).ifPresent(members::add);
        }
        double prefillMillis = servesEngines ? primary.timing().prefillMillis(call.promptTokens()) / members.size() : 0;
        for (ServerLoad each : members) {
            boolean first = each == primary;
            each.grant(
                    new Allocation(call, first, open.writing() ? 0 : prefillMillis, first ? call.memoryTokens() : 0),
                    now);
            if (open.writing()) {
                each.startDecoding(call.attempt(), now);
            }
        }
        long expiresAtNanos = now + call.deadlineLeftMillis() * NANOS_PER_MILLI + UNREPORTED_GRANT_RETENTION_NANOS;
        grants.put(call.attempt(), new ActiveGrant(call, open.granted(), members, expiresAtNanos, true));
    }

    /** Ends the grants, and removes the waiting calls, of an incarnation of an entry that is gone. */
    public void removeEntry(HostId host, long incarnation, long now) {
        cancelGrants(each -> each.call().host().equals(host) && each.call().incarnation() == incarnation, now);
        removeWaiting(each -> each.host().equals(host) && each.incarnation() == incarnation, now);
    }

    /** Removes waiting calls; none of them was sent, so they do not count in the retry budget. */
    private void removeWaiting(Predicate<DispatchCall> condition, long now) {
        waiting.removeIf(each -> {
            boolean removed = condition.test(each.call());
            if (removed) {
                retryBudget.takeBack(each.call().repeated(), now);
            }
            return removed;
        });
    }

    private void expireGrants(long now) {
        cancelGrants(each -> now - each.expiresAtNanos() >= 0, now);
    }

    /** Entries, with their incarnations, that hold grants or have waiting calls. */
    public Map<HostId, Long> activeEntries() {
        Map<HostId, Long> active = new HashMap<>();
        grants.values()
                .forEach(each -> active.put(each.call().host(), each.call().incarnation()));
        waiting.forEach(each -> active.put(each.call().host(), each.call().incarnation()));
        return active;
    }

    public int waiting() {
        return waiting.size();
    }

    public int running() {
        return grants.size();
    }
}
