package org.elmline.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.quarantine.QuarantineRecord.Key;

/**
 * What one entry knows of the quarantine: the latest record of each group over all control hosts. It stays in force
 * while no control host answers. Times named {@code now} are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class QuarantineView {
    private static final int MAX_RECORDS = 512;

    /** Retry-After for a group that only an operator releases, or whose next trial is near. */
    private static final long MIN_RETRY_AFTER_MILLIS = Duration.ofMinutes(10).toMillis();

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final HostId self;
    private final Map<Key, HeldRecord> records = new LinkedHashMap<>();
    private final Map<ServiceName, Set<PromptPart>> suspects = new HashMap<>();
    private final Map<Key, Long> usedTrialRevisions = new HashMap<>();

    private record HeldRecord(QuarantineRecord quarantine, long receivedAtNanos) {}

    public QuarantineView(HostId self) {
        this.self = self;
    }

    /** Applies what a control host holds. Returns the groups whose stage has changed. */
    public List<QuarantineRecord> apply(QuarantineNews news, long now) {
        suspects.clear();
        news.suspects().forEach(each -> suspects.computeIfAbsent(each.service(), name -> new HashSet<>())
                .addAll(each.parts()));
        List<QuarantineRecord> changed = new ArrayList<>();
        for (QuarantineRecord each : news.records()) {
            HeldRecord known = records.get(each.key());
            if (known != null && !each.supersedes(known.quarantine())) {
                continue;
            }
            records.remove(each.key());
            records.put(each.key(), new HeldRecord(each, now));
            QuarantineStage before = known == null
                    ? QuarantineStage.RELEASED
                    : known.quarantine().stage();
            if (before != each.stage()) {
                changed.add(each);
            }
        }
        evict();
        return changed;
    }

    private void evict() {
        if (records.size() > MAX_RECORDS) {
            records.values().removeIf(each -> !each.quarantine().stage().restricts());
        }
        usedTrialRevisions.keySet().retainAll(records.keySet());
    }

    /** The records in force here that a control host lacks, or holds in an older revision. */
    public List<QuarantineRecord> missingIn(QuarantineNews news) {
        Map<Key, QuarantineRecord> held = new HashMap<>();
        news.records().forEach(each -> held.put(each.key(), each));
        return restricted().stream()
                .filter(each -> !held.containsKey(each.key()) || each.supersedes(held.get(each.key())))
                .toList();
    }

    /** Whether any record restricts calls, or any part is suspect; without one, no call needs a look. */
    public boolean isEmpty() {
        return records.isEmpty() && suspects.isEmpty();
    }

    /** The parts of a request to decide on: its digest is needed only where another request is restricted. */
    public List<PromptPart> compared(ServiceName service, RequestParts parts) {
        return restrictsRequests(service) ? parts.all() : parts.shared();
    }

    private boolean restrictsRequests(ServiceName service) {
        return records.values().stream()
                .map(HeldRecord::quarantine)
                .anyMatch(each -> each.group().isRequest()
                        && each.stage().restricts()
                        && each.service().equals(service));
    }

    /** Whether this request is restricted. */
    public boolean restricts(ServiceName service, RequestParts parts) {
        return restrictsRequests(service) && isWatched(service, parts.request());
    }

    /** Whether anything speaks against a part, so that control hosts need to know of answers that go on with it. */
    public boolean isWatched(ServiceName service, PromptPart part) {
        if (suspects.getOrDefault(service, Set.of()).contains(part)) {
            return true;
        }
        return records.values().stream()
                .map(HeldRecord::quarantine)
                .anyMatch(each -> each.stage().restricts()
                        && each.service().equals(service)
                        && each.group().parts().contains(part));
    }

    /**
     * Decides on a call whose prompt has these shared parts. A trial that it grants counts as used.
     *
     * @param mayTry whether the call may be a trial of parts; one that has run on a server that ended would show nothing
     *     new of them
     */
    public Decision decide(ServiceName service, Collection<PromptPart> parts, boolean mayTry, long now) {
        Decision decision = Decision.ALLOWED;
        for (HeldRecord each : parts.isEmpty() ? List.<HeldRecord>of() : records.values()) {
            QuarantineRecord known = each.quarantine();
            if (!known.stage().restricts()
                    || !known.service().equals(service)
                    || !known.group().isContainedIn(parts)) {
                continue;
            }
            Decision next = decide(each, mayTry, now);
            if (next instanceof Decision.Refused) {
                return next;
            }
            decision = next;
        }
        return decision;
    }

    private Decision decide(HeldRecord held, boolean mayTry, long now) {
        QuarantineRecord known = held.quarantine();
        if ((mayTry || known.group().isRequest())
                && self.equals(known.trialEntry())
                && usedTrialRevisions.getOrDefault(known.key(), 0L) != known.revision()) {
            usedTrialRevisions.put(known.key(), known.revision());
            return new Decision.Trial(known);
        }
        if (known.stage() == QuarantineStage.SUSPECTED) {
            return new Decision.Held(known);
        }
        long untilTrialMillis = known.untilTrialMillis() - (now - held.receivedAtNanos()) / NANOS_PER_MILLI;
        return new Decision.Refused(known, Math.max(MIN_RETRY_AFTER_MILLIS, untilTrialMillis));
    }

    /** Whether a call with these shared parts is refused; grants no trial. */
    public boolean isRefused(ServiceName service, Collection<PromptPart> parts) {
        return restricted().stream()
                .anyMatch(each -> each.stage() == QuarantineStage.QUARANTINED
                        && each.service().equals(service)
                        && each.group().isContainedIn(parts));
    }

    /** The records in force. */
    public List<QuarantineRecord> restricted() {
        return records.values().stream()
                .map(HeldRecord::quarantine)
                .filter(each -> each.stage().restricts())
                .toList();
    }

    /** What happens to a call. */
    public sealed interface Decision {
        Decision ALLOWED = new Allowed();

        /** The call is sent. */
        record Allowed() implements Decision {}

        /** The call is sent as the one trial of its group. */
        record Trial(QuarantineRecord quarantine) implements Decision {}

        /** The call waits until the suspicion ends. */
        record Held(QuarantineRecord quarantine) implements Decision {}

        /** The call is refused without having run. */
        record Refused(QuarantineRecord quarantine, long retryAfterMillis) implements Decision {}
    }
}
