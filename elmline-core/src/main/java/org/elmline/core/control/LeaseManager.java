package org.elmline.core.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

import org.elmline.core.common.Address;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * Grants host leases on the leader, in memory. A leader creates one when its {@link Command.StartLeadership} is applied
 * and discards it when it is deposed. Renewals are not logged: 370 entries that renew once a second would need 370
 * synced commands a second, for a fact that is obsolete seconds later. The lost information is covered by treating
 * every member as holding a lease for one full length after the start of a new leader. Not safe for concurrent use.
 */
public final class LeaseManager {
    private final ControlState state;
    private final LeaseSettings settings;
    private final long settledNanos;
    private final Map<HostProcess, LeaseState> leases = new HashMap<>();

    /**
     * One incarnation of a host. A replaced process may hold its lease for a while at the same time as its replacement.
     */
    private record HostProcess(HostId host, Incarnation incarnation) {
        static HostProcess of(HostRecord host) {
            return new HostProcess(host.id(), host.incarnation());
        }
    }

    private final class LeaseState {
        private long untilNanos = settledNanos;
        private ConfigVersion inForce = ConfigVersion.of(0);
        private long endProposedVersion = -1;

        /**
         * Extends the lease from the arrival of a request. Also applied to a process that is about to join; otherwise its
         * membership would end before its first grant.
         */
        private void extend(long receivedNanos) {
            long until = receivedNanos + settings.leaderLeaseNanos();
            untilNanos = untilNanos - until >= 0 ? untilNanos : until;
        }
    }

    /**
     * @param state the leader's state with its own {@link Command.StartLeadership} applied, so that it contains every
     *     member that an earlier leader granted a lease
     * @param startedNanos monotonic clock at the start of this leadership
     */
    public LeaseManager(ControlState state, LeaseSettings settings, long startedNanos) {
        this.state = state;
        this.settings = settings;
        this.settledNanos = startedNanos + settings.leaderLeaseNanos();
    }

    /**
     * Decides a renewal.
     *
     * @param leaderUntilNanos end of the leader's own lease; past it the leader may be deposed and grants nothing
     * @param controlHosts peer addresses of all control hosts, the leader first
     */
    public LeaseDecision renew(LeaseRequest request, long nowNanos, long leaderUntilNanos, List<Address> controlHosts) {
        if (nowNanos - leaderUntilNanos >= 0) {
            return new LeaseDecision.Answer(new LeaseAnswer.NotLeader(null));
        }
        HostRecord host = request.host();
        Optional<Incarnation> replacement = state.replacingIncarnation(host);
        if (replacement.isPresent()) {
            return new LeaseDecision.Answer(new LeaseAnswer.Replaced(replacement.get()));
        }
        Optional<Member> member = state.member(host.id());
        if (member.isEmpty() || !member.get().host().equals(state.mergeLeaving(host)) || isEndProposed(member.get())) {
            leaseOf(HostProcess.of(host)).extend(nowNanos);
            return new LeaseDecision.Join(new Command.JoinHost(host));
        }
        return new LeaseDecision.Answer(grant(request, nowNanos, controlHosts));
    }

    private LeaseAnswer grant(LeaseRequest request, long nowNanos, List<Address> controlHosts) {
        LeaseState lease = leaseOf(HostProcess.of(request.host()));
        lease.extend(nowNanos);
        lease.inForce = request.inForce().compareTo(lease.inForce) > 0 ? request.inForce() : lease.inForce;
        return new LeaseAnswer.Granted(
                settings.leaseMillis(),
                state.configSince(request.inForce()),
                state.membersSince(request.membersVersion()),
                controlHosts);
    }

    /**
     * Whether the end of this membership has been proposed. Such a membership gets no further grant: the end may be
     * committed already, and a host that holds a lease without being a member would not be counted for "in force".
     */
    private boolean isEndProposed(Member member) {
        LeaseState lease = leases.get(HostProcess.of(member.host()));
        return lease != null && lease.endProposedVersion == member.version();
    }

    /**
     * Returns commands that end the memberships whose leases have expired. Each is returned again on every call until
     * it is applied.
     */
    public List<Command.EndHost> endExpired(long nowNanos) {
        List<Command.EndHost> expired = new ArrayList<>();
        for (Member each : state.members()) {
            if (nowNanos - untilNanos(each) < 0) {
                continue;
            }
            HostProcess process = HostProcess.of(each.host());
            leaseOf(process).endProposedVersion = each.version();
            expired.add(new Command.EndHost(process.host(), process.incarnation(), each.version()));
        }
        evictExpired(nowNanos);
        return expired;
    }

    private void evictExpired(long nowNanos) {
        Iterator<Map.Entry<HostProcess, LeaseState>> each = leases.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<HostProcess, LeaseState> next = each.next();
            if (nowNanos - next.getValue().untilNanos >= 0 && !isMember(next.getKey())) {
                each.remove();
            }
        }
    }

    private boolean isMember(HostProcess process) {
        return state.member(process.host())
                .filter(m -> m.host().incarnation().equals(process.incarnation()))
                .isPresent();
    }

    private long untilNanos(Member member) {
        LeaseState lease = leases.get(HostProcess.of(member.host()));
        return lease == null ? settledNanos : lease.untilNanos;
    }

    /** Whether leases that an earlier leader granted, to processes replaced since, may still be valid. */
    public boolean isSettling(long nowNanos) {
        return nowNanos - settledNanos < 0;
    }

    /** Returns a decided ticket with the hosts where it may not be in force yet. */
    public TicketStatus status(TicketRecord ticket, long nowNanos) {
        List<HostId> outstanding = ticket.outcome() instanceof TicketOutcome.Accepted accepted
                ? outstanding(accepted.version(), nowNanos)
                : List.of();
        boolean inForce = ticket.accepted() && outstanding.isEmpty() && !isSettling(nowNanos);
        return new TicketStatus(
                ticket.number(),
                ticket.author(),
                ticket.digest(),
                ticket.outcome(),
                inForce,
                outstanding,
                isSettling(nowNanos));
    }

    /** Hosts that may hold a lease and have not acknowledged this version, sorted by id. */
    public List<HostId> outstanding(ConfigVersion version, long nowNanos) {
        TreeSet<HostId> found = new TreeSet<>();
        for (Map.Entry<HostProcess, LeaseState> each : leases.entrySet()) {
            LeaseState lease = each.getValue();
            if (nowNanos - lease.untilNanos < 0 && lease.inForce.compareTo(version) < 0) {
                found.add(each.getKey().host());
            }
        }
        for (Member each : state.members()) {
            if (isSettling(nowNanos) && !leases.containsKey(HostProcess.of(each.host()))) {
                found.add(each.host().id());
            }
        }
        return List.copyOf(found);
    }

    private LeaseState leaseOf(HostProcess process) {
        return leases.computeIfAbsent(process, p -> new LeaseState());
    }
}
