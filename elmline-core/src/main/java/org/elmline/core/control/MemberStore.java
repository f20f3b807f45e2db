package org.elmline.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * Stores the live hosts. Only joins, ends and changes of members are replicated; renewals stay in the leader's memory.
 * Not safe for concurrent use.
 */
final class MemberStore {
    private final TreeMap<HostId, Member> members = new TreeMap<>();
    private final TreeMap<HostId, EndedHost> ended = new TreeMap<>();
    private long version;
    private long floor;

    MemberStore() {}

    MemberStore(ControlSnapshot from) {
        from.members().forEach(m -> members.put(m.host().id(), m));
        from.ended().forEach(e -> ended.put(e.id(), e));
        version = from.membersVersion();
        floor = from.membersFloor();
    }

    long version() {
        return version;
    }

    long floor() {
        return floor;
    }

    Collection<Member> members() {
        return members.values();
    }

    Collection<EndedHost> ended() {
        return ended.values();
    }

    Optional<Member> member(HostId id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Returns the incarnation that prevents this process from joining, if there is one. */
    Optional<Incarnation> replacingIncarnation(HostRecord host) {
        Member current = members.get(host.id());
        if (current == null) {
            EndedHost endedHost = ended.get(host.id());
            boolean earlierIncarnation = endedHost != null && host.incarnation().compareTo(endedHost.incarnation()) < 0;
            return earlierIncarnation ? Optional.of(endedHost.incarnation()) : Optional.empty();
        }
        int order = host.incarnation().compareTo(current.host().incarnation());
        boolean sameIncarnationElsewhere =
                order == 0 && !host.peers().equals(current.host().peers());
        return order < 0 || sameIncarnationElsewhere
                ? Optional.of(current.host().incarnation())
                : Optional.empty();
    }

    /**
     * Returns the record that a join would store. The leaving flag of a process is never cleared: otherwise a delayed
     * older renewal would offer a stopping host to callers again.
     */
    HostRecord mergeLeaving(HostRecord host) {
        Member current = members.get(host.id());
        boolean wasLeaving = current != null
                && current.host().leaving()
                && current.host().incarnation().equals(host.incarnation());
        if (host.leaving() || !wasLeaving) {
            return host;
        }
        return new HostRecord(
                host.id(),
                host.incarnation(),
                host.failureDomain(),
                host.region(),
                host.callers(),
                host.peers(),
                host.operators(),
                true);
    }

    CommandResult join(HostRecord host) {
        Optional<Incarnation> replacement = replacingIncarnation(host);
        if (replacement.isPresent()) {
            return new CommandResult.HostReplaced(replacement.get());
        }
        HostRecord merged = mergeLeaving(host);
        version++;
        members.put(host.id(), new Member(merged, version));
        ended.remove(host.id());
        return new CommandResult.HostJoined(version);
    }

    CommandResult end(Command.EndHost end, int limit) {
        Member current = members.get(end.host());
        boolean currentMembership = current != null
                && current.version() == end.joinedAt()
                && current.host().incarnation().equals(end.incarnation());
        if (!currentMembership) {
            return new CommandResult.HostEnded(false);
        }
        members.remove(end.host());
        version++;
        ended.put(end.host(), new EndedHost(end.host(), end.incarnation(), version));
        evictExcess(limit);
        return new CommandResult.HostEnded(true);
    }

    MembersDelta changesSince(long from) {
        boolean full = from <= 0 || from < floor || from > version;
        List<HostRecord> changed = new ArrayList<>();
        for (Member each : members.values()) {
            if (full || each.version() > from) {
                changed.add(each.host());
            }
        }
        List<HostId> removed = new ArrayList<>();
        for (EndedHost each : ended.values()) {
            if (!full && each.version() > from) {
                removed.add(each.id());
            }
        }
        return new MembersDelta(from, version, full, changed, removed);
    }

    private void evictExcess(int limit) {
        while (ended.size() > limit) {
            EndedHost oldest = ended.values().stream()
                    .min(Comparator.comparingLong(EndedHost::version))
                    .orElseThrow();
            ended.remove(oldest.id());
            floor = oldest.version();
        }
    }
}
