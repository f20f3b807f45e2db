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

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.RoutedService;

/**
 * Decides for one shard of a service where calls run and in which order they wait. Holds every granted attempt until its end is
 * reported, its entry is gone, or its time is over. Not safe for concurrent use.
 */
public final class Dispatcher {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /** Calls that may wait; beyond this the newest is refused, as it could hardly be in time. */
    private static final int MAX_WAITING = 512;

    /** Time after a call's deadline for which its grant is kept when nobody reports its end. */
    private static final long FORGOTTEN_NANOS = 2_000 * NANOS_PER_MILLI;

    /** Time that engines are kept from short calls for a long prompt that waits; about a short answer's length. */
    private static final long CLOSE_NANOS = 400 * NANOS_PER_MILLI;

    /**
     * Time for which a new dispatcher that knows no server yet lets calls wait: two heartbeats. After a restart of
     * everything each server is heard within one; turned away sooner, callers would have used up their retries.
     */
    private static final long WARM_UP_NANOS = 2_400 * NANOS_PER_MILLI;

    /**
     * Time that a long call waits at a dispatcher that the entries don't ask first. It knows little of what runs: asked by
     * one entry that lost a packet, it would read a huge prompt on all engines, and the questions that the first dispatcher
     * has there would be late. Within this time the first one answers again, or is found to be gone.
     */
    private static final long SECONDARY_WAIT_NANOS = 1_000 * NANOS_PER_MILLI;

    /** Part of the engines that is kept free for a long prompt that waits, at least one. */
    private static final int CLOSE_ONE_OF = 5;

    /**
     * Calls of a kind, short or long, that find no place in one look before the rest of that kind isn't tried: in a full
     * house they would all miss, and looking at hundreds every few milliseconds costs more than the host has.
     */
    private static final int MAX_MISSES = 4;

    /** Callers are told to come back no sooner than this, or their retries would only add to a queue. */
    private static final long SHORTEST_RETRY_MILLIS = 100;

    /** Nor later than this: a server may be back by then. */
    private static final long LONGEST_RETRY_MILLIS = 2_000;

    private final Placement placement;
    private final RetryWindow retries;
    private final ServerAccounts accounts = new ServerAccounts();
    private final RequestLimits limits;
    private final Map<String, Granted> grants = new HashMap<>();
    private final List<WaitingCall> waiting = new ArrayList<>();
    private final boolean engines;
    private final long warmUntil;
    private boolean knewServers;
    private boolean first = true;
    private long secondSince;

    private record Granted(PlaceCall call, PlaceAnswer.Granted answer, List<ServerAccount> members, long until) {}

    public Dispatcher(RoutedService service, RetryLimit limit, long now) {
        this(service, limit, new ServerLimits(), now);
    }

    /** @param limits what servers say of the requests that they take; also learned from reports */
    public Dispatcher(RoutedService service, RetryLimit limit, ServerLimits limits, long now) {
        this.limits = new RequestLimits(limits, accounts);
        engines = service.timing() != null;
        placement = engines ? new EnginePlacement() : new PlainPlacement();
        retries = new RetryWindow(limit, now);
        warmUntil = now + WARM_UP_NANOS;
        secondSince = now;
    }

    /** Whether this dispatcher fits a service as it is described now. */
    public boolean fits(RoutedService service) {
        return engines == (service.timing() != null);
    }

    /**
     * Takes whether this is the dispatcher that all entries ask first, and so knows of all that runs. After a loss of all
     * entries several take themselves for it until they hear of each other; none of them may be told so then, or each
     * packs its first questions on the same engines.
     *
     * @param now monotonic time in nanoseconds
     */
    public void askedFirst(boolean isFirst, long now) {
        if (first && !isFirst) {
            secondSince = now;
        }
        first = isFirst;
    }

    /** Takes how many entries there are; while none of them knows who is asked first, each may send on its own. */
    public void entries(int count) {
        limits.entries(count);
    }

    /**
     * Whether a long call must wait here as this dispatcher does not know what runs. Counted from when it stopped being the
     * first, too: from then on entries tell it to forget. A prompt that had waited for as long before would
     * then go to engines that only seem to be free.
     */
    private boolean heldAsSecond(WaitingCall waited, long now) {
        long since = Math.max(waited.since(), secondSince);
        return !first && now - since < SECONDARY_WAIT_NANOS;
    }

    /** Takes the servers that may be used now. */
    public void servers(RoutedService service, Collection<Registration> usable, long now) {
        knewServers |= !usable.isEmpty();
        accounts.update(usable, service.timing(), now);
        limits.serversChanged();
    }

    /** Asks for a place. The same attempt asked again gets the same answer while it waits or runs. */
    public PlaceAnswer place(PlaceCall call, long now) {
        Granted held = grants.get(call.attempt());
        if (held != null) {
            return held.answer();
        }
        int ahead = position(call.attempt());
        if (ahead >= 0) {
            return new PlaceAnswer.Queued(call.attempt(), ahead);
        }
        limits.keep(first, now);
        List<ServerAccount> usable = accounts.usable(call.avoid(), now);
        Optional<PlaceAnswer> refusal = refusal(call, usable, now);
        if (refusal.isPresent()) {
            return refusal.get();
        }
        WaitingCall next = WaitingCall.of(call, now);
        if (!usable.isEmpty() && isFirstOfItsKind(next, usable, now)) {
            Optional<PlaceAnswer> granted = tryToPlace(next, usable, now);
            if (granted.isPresent()) {
                return granted.get();
            }
        }
        waiting.add(next);
        return new PlaceAnswer.Queued(call.attempt(), waiting.size() - 1);
    }

    /**
     * Whether no call that waits goes before this one. One that isn't first is left to the next look: each new call would
     * else have all that wait looked through, and in a burst the host that decides would hear nobody for a second.
     */
    private boolean isFirstOfItsKind(WaitingCall next, List<ServerAccount> usable, long now) {
        boolean isLong = placement.isLong(next.call(), usable);
        Comparator<WaitingCall> order = WaitingCall.order(now);
        for (WaitingCall each : waiting) {
            if (order.compare(each, next) <= 0 && placement.isLong(each.call(), usable) == isLong) {
                return false;
            }
        }
        return true;
    }

    /** Grants a place if there is one; if not, and the call is long, engines are kept free for it. */
    private Optional<PlaceAnswer> tryToPlace(WaitingCall next, List<ServerAccount> usable, long now) {
        boolean isLong = placement.isLong(next.call(), usable);
        if (isLong && heldAsSecond(next, now)) {
            return Optional.empty();
        }
        PlaceCall call = next.callAt(now);
        Optional<Plan> plan = placement.plan(call, limits.within(usable, isLong, now), !first, now);
        if (plan.isEmpty() && isLong) {
            keepEnginesFree(usable, now);
        }
        return plan.map(each -> grant(next, call, each, now));
    }

    private int position(String attempt) {
        for (int i = 0; i < waiting.size(); i++) {
            if (waiting.get(i).call().attempt().equals(attempt)) {
                return i;
            }
        }
        return -1;
    }

    private Optional<PlaceAnswer> refusal(PlaceCall call, List<ServerAccount> usable, long now) {
        if (usable.isEmpty()) {
            return warming(now) ? Optional.empty() : refuse(call, PlaceAnswer.Why.NO_SERVER, SHORTEST_RETRY_MILLIS);
        }
        long wait = waitMillis(usable, now);
        if (waiting.size() >= MAX_WAITING) {
            return refuse(call, PlaceAnswer.Why.QUEUE_FULL, wait);
        }
        if (engines && call.memoryTokens() > allMemory(usable)) {
            return refuse(call, PlaceAnswer.Why.TOO_LARGE, LONGEST_RETRY_MILLIS);
        }
        boolean hopeless = wait + placement.workMillis(call, usable) / 2 > call.deadlineLeftMillis();
        if (hopeless) {
            return refuse(call, PlaceAnswer.Why.TOO_LATE, wait);
        }
        if (call.repeated() && !retries.repeat(now)) {
            return refuse(call, PlaceAnswer.Why.RETRY_BUDGET, LONGEST_RETRY_MILLIS);
        }
        if (!call.repeated()) {
            retries.first(now);
        }
        return Optional.empty();
    }

    private boolean warming(long now) {
        return !knewServers && now - warmUntil < 0;
    }

    private static long allMemory(List<ServerAccount> servers) {
        long all = 0;
        for (ServerAccount each : servers) {
            all += each.timing().memoryTokens();
        }
        return all;
    }

    private static Optional<PlaceAnswer> refuse(PlaceCall call, PlaceAnswer.Why why, long millis) {
        long after = Math.max(SHORTEST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, millis));
        return Optional.of(new PlaceAnswer.Refused(call.attempt(), why, after));
    }

    /** Milliseconds until all that waits now has begun, by the work it is. */
    private long waitMillis(List<ServerAccount> usable, long now) {
        double work = 0;
        int places = 0;
        for (ServerAccount each : usable) {
            places += each.places();
        }
        for (WaitingCall each : waiting) {
            work += placement.workMillis(each.call(), usable);
        }
        return (long) Math.max(work / Math.max(1, places), limits.waitMillis(usable, waiting.size(), now));
    }

    /** Lets time pass: decisions on calls that waited, to be told to their entries. */
    public List<PlaceAnswer> tick(long now) {
        dropForgotten(now);
        limits.keep(first, now);
        List<PlaceAnswer> decided = new ArrayList<>();
        List<ServerAccount> all = accounts.usable(List.of(), now);
        waiting.sort(WaitingCall.order(now));
        int shortMisses = 0;
        int longMisses = 0;
        int ahead = 0;
        Iterator<WaitingCall> each = waiting.iterator();
        while (each.hasNext()) {
            WaitingCall next = each.next();
            List<BackendServerId> avoid = next.call().avoid();
            List<ServerAccount> usable = avoid.isEmpty() ? all : accounts.usable(avoid, now);
            if (usable.isEmpty() && warming(now) && next.deadlineLeftMillis(now) > 0) {
                continue;
            }
            if (usable.isEmpty() || isHopeless(next, usable, ahead, now)) {
                each.remove();
                PlaceAnswer.Why why = usable.isEmpty() ? PlaceAnswer.Why.NO_SERVER : PlaceAnswer.Why.TOO_LATE;
                refuse(next.call(), why, SHORTEST_RETRY_MILLIS).ifPresent(decided::add);
                continue;
            }
            ahead++;
            boolean isLong = placement.isLong(next.call(), usable);
            if ((isLong ? longMisses : shortMisses) >= MAX_MISSES) {
                continue;
            }
            Optional<PlaceAnswer> granted = tryToPlace(next, usable, now);
            if (granted.isPresent()) {
                each.remove();
                ahead--;
                decided.add(granted.get());
            } else if (isLong) {
                longMisses += heldAsSecond(next, now) ? 0 : 1;
            } else {
                shortMisses++;
            }
        }
        return decided;
    }

    /** @param ahead calls that wait and go before this one */
    private boolean isHopeless(WaitingCall waited, List<ServerAccount> usable, int ahead, long now) {
        double wait = limits.waitMillis(usable, ahead, now);
        return wait + placement.workMillis(waited.call(), usable) / 2 > waited.deadlineLeftMillis(now);
    }

    /**
     * Turns short calls away from the engines that are nearest to being free of them. Without it, engines that are all
     * packed with short answers never suit a long prompt, and it waits until its caller gives up.
     */
    private void keepEnginesFree(List<ServerAccount> usable, long now) {
        List<ServerAccount> tight = new ArrayList<>();
        for (ServerAccount each : usable) {
            if (placement.isTight(each, now)) {
                tight.add(each);
            } else {
                each.closeToShort(now + CLOSE_NANOS);
            }
        }
        tight.sort(Comparator.comparingInt(ServerAccount::running));
        int count = Math.max(1, usable.size() / CLOSE_ONE_OF);
        for (ServerAccount each : tight.subList(0, Math.min(count, tight.size()))) {
            each.closeToShort(now + CLOSE_NANOS);
        }
    }

    private PlaceAnswer grant(WaitingCall waited, PlaceCall call, Plan plan, long now) {
        ServerAccount primary = plan.primary();
        List<Helper> helpers = new ArrayList<>();
        for (int i = 1; i < plan.members().size(); i++) {
            Registration member = plan.members().get(i).registration();
            helpers.add(new Helper(
                    member.id(), member.address(), plan.memoryTokens().get(i)));
        }
        PlaceAnswer.Granted answer = new PlaceAnswer.Granted(
                call.attempt(),
                primary.registration().id(),
                primary.registration().address(),
                helpers,
                (long) plan.firstMillis(),
                (long) (plan.firstMillis() + placement.workMillis(call, plan.members())),
                engines ? (long) primary.backlogMillis(now) : 0,
                primary.running());
        for (int i = 0; i < plan.members().size(); i++) {
            Share share = new Share(
                    call,
                    i == 0,
                    engines ? plan.partMillis() : 0,
                    plan.memoryTokens().get(i));
            plan.members().get(i).grant(share, now);
            plan.members().get(i).requests().take(now);
        }
        grants.put(call.attempt(), new Granted(call, answer, plan.members(), waited.deadlineAt() + FORGOTTEN_NANOS));
        return answer;
    }

    /** Takes what became of an attempt; one that isn't known, or is reported twice, changes nothing. */
    public void report(AttemptReport report, long now) {
        Granted granted = grants.get(report.attempt());
        if (granted == null) {
            waiting.removeIf(each -> each.call().attempt().equals(report.attempt()));
            return;
        }
        if (report.limit() != null) {
            limits.learn(granted.answer().server(), report.limit(), now);
        }
        if (report.end() == null) {
            granted.members().forEach(each -> each.startWriting(report.attempt(), now));
            return;
        }
        grants.remove(report.attempt());
        granted.members().get(0).health().take(report.end(), now);
        granted.members().forEach(each -> each.end(report.attempt(), now));
    }

    /**
     * Forgets what an entry does not run any more: what ended while this process was frozen was never reported to it.
     * It would count those calls until their time is over, and new ones would wait for places that are free.
     *
     * @param incarnation start of the entry; nothing of an earlier one runs
     */
    public void keepOnly(HostId host, long incarnation, List<OpenGrant> open, long now) {
        Set<String> running = new HashSet<>();
        open.forEach(each -> running.add(each.call().attempt()));
        List<String> ended = new ArrayList<>();
        for (Granted each : grants.values()) {
            PlaceCall call = each.call();
            boolean theirs = call.host().equals(host) && call.incarnation() <= incarnation;
            if (theirs && !running.contains(call.attempt())) {
                ended.add(call.attempt());
            }
        }
        ended.forEach(each -> report(new AttemptReport(each, AttemptEnd.CANCELLED), now));
    }

    /** Counts a request that another dispatcher of this service has just had sent. */
    public void sentElsewhere(BackendServerId server, long now) {
        limits.keep(first, now);
        Optional.ofNullable(accounts.of(server))
                .ifPresent(each -> each.requests().take(now));
    }

    /** Takes a grant of another dispatcher of this service, which would otherwise be counted as a free place. */
    public void adopt(OpenGrant open, long now) {
        PlaceCall call = open.call();
        if (grants.containsKey(call.attempt())) {
            return;
        }
        List<ServerAccount> members = new ArrayList<>();
        ServerAccount primary = accounts.of(open.granted().server());
        if (primary == null) {
            return;
        }
        members.add(primary);
        for (Helper each : open.granted().helpers()) {
            Optional.ofNullable(accounts.of(each.server())).ifPresent(members::add);
        }
        double read = engines ? primary.timing().readMillis(call.promptTokens()) / members.size() : 0;
        for (ServerAccount each : members) {
            boolean first = each == primary;
            each.grant(new Share(call, first, open.writing() ? 0 : read, first ? call.memoryTokens() : 0), now);
            if (open.writing()) {
                each.startWriting(call.attempt(), now);
            }
        }
        long until = now + call.deadlineLeftMillis() * NANOS_PER_MILLI + FORGOTTEN_NANOS;
        grants.put(call.attempt(), new Granted(call, open.granted(), members, until));
    }

    /** Frees what a start of an entry had that is gone. */
    public void entryGone(HostId host, long incarnation, long now) {
        List<String> theirs = new ArrayList<>();
        for (Granted each : grants.values()) {
            if (each.call().host().equals(host) && each.call().incarnation() == incarnation) {
                theirs.add(each.call().attempt());
            }
        }
        theirs.forEach(each -> report(new AttemptReport(each, AttemptEnd.CANCELLED), now));
        waiting.removeIf(each -> each.call().host().equals(host) && each.call().incarnation() == incarnation);
    }

    private void dropForgotten(long now) {
        List<String> over = new ArrayList<>();
        for (Granted each : grants.values()) {
            if (now - each.until() >= 0) {
                over.add(each.call().attempt());
            }
        }
        over.forEach(each -> report(new AttemptReport(each, AttemptEnd.CANCELLED), now));
    }

    /** Entries, with their starts, that hold grants or wait. */
    public Map<HostId, Long> holders() {
        Map<HostId, Long> holders = new HashMap<>();
        grants.values()
                .forEach(each -> holders.put(each.call().host(), each.call().incarnation()));
        waiting.forEach(each -> holders.put(each.call().host(), each.call().incarnation()));
        return holders;
    }

    public int waiting() {
        return waiting.size();
    }

    public int running() {
        return grants.size();
    }
}
