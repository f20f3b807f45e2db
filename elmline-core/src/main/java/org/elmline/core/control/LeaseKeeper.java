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
 * Grants host leases on the leader, in memory. A leader makes one when its {@link Command.StartLeadership} is applied,
 * and drops it when it is deposed. Renewals are not logged: at 370 entries and one renewal a second they would be 370
 * commands a second to sync, for a fact that is void seconds later. What a new leader can't know for that is covered by
 * its taking every member to hold a lease for one whole length from its start.
 */
public final class LeaseKeeper {
    private final ControlState state;
    private final LeaseSettings settings;
    private final long settledNanos;
    private final Map<Process, Holder> holders = new HashMap<>();

    /** One start of a host. A replaced process may hold its lease for a while beside the one that replaced it. */
    private record Process(HostId host, Incarnation incarnation) {
        static Process of(HostRecord host) {
            return new Process(host.id(), host.incarnation());
        }
    }

    private final class Holder {
        private long untilNanos = settledNanos;
        private ConfigVersion inForce = ConfigVersion.of(0);
        private long endingAt = -1;

        /** A process that is about to join gets this too, or its membership would end before its first grant. */
        private void extend(long askedNanos) {
            long until = askedNanos + settings.leaderNanos();
            untilNanos = untilNanos - until >= 0 ? untilNanos : until;
        }
    }

    /**
     * @param state the leader's state with its own {@link Command.StartLeadership} applied, so that it knows every
     *     member that an earlier leader granted a lease
     */
    public LeaseKeeper(ControlState state, LeaseSettings settings, long startedNanos) {
        this.state = state;
        this.settings = settings;
        this.settledNanos = startedNanos + settings.leaderNanos();
    }

    /**
     * Decides a renewal.
     *
     * @param leaderUntilNanos end of the leader's own lease; a leader past it may be deposed and grants nothing
     * @param controlHosts peer addresses of all control hosts, the leader first
     */
    public LeaseDecision renew(LeaseRequest request, long nowNanos, long leaderUntilNanos, List<Address> controlHosts) {
        if (nowNanos - leaderUntilNanos >= 0) {
            return new LeaseDecision.Answer(new LeaseAnswer.NotLeader(null));
        }
        HostRecord host = request.host();
        Optional<Incarnation> replacement = state.replacement(host);
        if (replacement.isPresent()) {
            return new LeaseDecision.Answer(new LeaseAnswer.Replaced(replacement.get()));
        }
        Optional<Member> member = state.member(host.id());
        if (member.isEmpty() || !member.get().host().equals(state.merged(host)) || ending(member.get())) {
            holder(Process.of(host)).extend(nowNanos);
            return new LeaseDecision.Join(new Command.JoinHost(host));
        }
        return new LeaseDecision.Answer(grant(request, nowNanos, controlHosts));
    }

    private LeaseAnswer grant(LeaseRequest request, long nowNanos, List<Address> controlHosts) {
        Holder holder = holder(Process.of(request.host()));
        holder.extend(nowNanos);
        holder.inForce = request.inForce().compareTo(holder.inForce) > 0 ? request.inForce() : holder.inForce;
        return new LeaseAnswer.Granted(
                settings.leaseMillis(),
                state.configSince(request.inForce()),
                state.membersSince(request.membersVersion()),
                controlHosts);
    }

    /**
     * Whether this membership's end is proposed. It is granted nothing more: the end may be committed already, and a
     * lease granted after it would belong to a host that no longer counts for "in force".
     */
    private boolean ending(Member member) {
        Holder holder = holders.get(Process.of(member.host()));
        return holder != null && holder.endingAt == member.version();
    }

    /** The memberships whose leases are over. Proposed again at each call until applied. */
    public List<Command.EndHost> ended(long nowNanos) {
        List<Command.EndHost> over = new ArrayList<>();
        for (Member each : state.members()) {
            if (nowNanos - untilNanos(each) < 0) {
                continue;
            }
            Process process = Process.of(each.host());
            holder(process).endingAt = each.version();
            over.add(new Command.EndHost(process.host(), process.incarnation(), each.version()));
        }
        forgetPast(nowNanos);
        return over;
    }

    private void forgetPast(long nowNanos) {
        Iterator<Map.Entry<Process, Holder>> each = holders.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<Process, Holder> next = each.next();
            if (nowNanos - next.getValue().untilNanos >= 0 && !isMember(next.getKey())) {
                each.remove();
            }
        }
    }

    private boolean isMember(Process process) {
        return state.member(process.host())
                .filter(m -> m.host().incarnation().equals(process.incarnation()))
                .isPresent();
    }

    private long untilNanos(Member member) {
        Holder holder = holders.get(Process.of(member.host()));
        return holder == null ? settledNanos : holder.untilNanos;
    }

    /** Whether leases may still run that an earlier leader granted to processes replaced since. */
    public boolean settling(long nowNanos) {
        return nowNanos - settledNanos < 0;
    }

    /** A decided ticket with the hosts where it may not be in force yet. */
    public TicketStatus status(TicketRecord ticket, long nowNanos) {
        List<HostId> outstanding = ticket.outcome() instanceof TicketOutcome.Accepted accepted
                ? outstanding(accepted.version(), nowNanos)
                : List.of();
        boolean inForce = ticket.accepted() && outstanding.isEmpty() && !settling(nowNanos);
        return new TicketStatus(
                ticket.number(),
                ticket.author(),
                ticket.digest(),
                ticket.outcome(),
                inForce,
                outstanding,
                settling(nowNanos));
    }

    /** Hosts that may hold a lease and haven't acknowledged this version, in order of their ids. */
    public List<HostId> outstanding(ConfigVersion version, long nowNanos) {
        TreeSet<HostId> found = new TreeSet<>();
        for (Map.Entry<Process, Holder> each : holders.entrySet()) {
            Holder holder = each.getValue();
            if (nowNanos - holder.untilNanos < 0 && holder.inForce.compareTo(version) < 0) {
                found.add(each.getKey().host());
            }
        }
        for (Member each : state.members()) {
            if (settling(nowNanos) && !holders.containsKey(Process.of(each.host()))) {
                found.add(each.host().id());
            }
        }
        return List.copyOf(found);
    }

    private Holder holder(Process process) {
        return holders.computeIfAbsent(process, p -> new Holder());
    }
}
