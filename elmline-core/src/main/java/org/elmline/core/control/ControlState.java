package org.elmline.core.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.ConfigDelta;
import org.elmline.core.config.Configuration;
import org.elmline.core.config.VersionedObject;
import org.elmline.core.evacuation.EvacuationStore;
import org.elmline.core.evacuation.Evacuations;

/**
 * The state replicated on all control hosts: configuration, decided tickets, live hosts, claims, evacuations and the fencing number.
 * It changes only by committed commands in the order of the log (the state machine of section 2 of the Raft paper),
 * reads no clock and draws no random number. Not safe for concurrent use: the caller that applies commands must
 * synchronise.
 */
public final class ControlState {
    private final TicketStore tickets;
    private final MemberStore members;
    private final ClaimStore claims;
    private final EvacuationStore evacuations;
    private ControlLimits limits;
    private FencingNumber fencing;
    private long index;

    public ControlState() {
        tickets = new TicketStore();
        members = new MemberStore();
        claims = new ClaimStore();
        evacuations = new EvacuationStore(null);
        limits = ControlLimits.DEFAULT;
        fencing = FencingNumber.of(0);
    }

    private ControlState(ControlSnapshot from) {
        tickets = new TicketStore(from);
        members = new MemberStore(from);
        claims = new ClaimStore(from);
        evacuations = new EvacuationStore(from.evacuations());
        limits = from.limits();
        fencing = from.fencing();
        index = from.index();
    }

    public static ControlState restore(ControlSnapshot snapshot) {
        return new ControlState(snapshot);
    }

    /** Applies the command committed at a log index; indexes must increase. */
    public CommandResult apply(long index, Command command) {
        if (index <= this.index) {
            throw new IllegalStateException("log index " + index + " applied after " + this.index);
        }
        this.index = index;
        return applyCommand(command);
    }

    private CommandResult applyCommand(Command command) {
        if (command instanceof Command.ApplyTicket apply) {
            return new CommandResult.TicketDecided(
                    tickets.decide(apply.ticket(), apply.digest(), limits.ticketRecords()));
        }
        if (command instanceof Command.BeginClaims begin) {
            return new CommandResult.ClaimsDecided(claims.begin(begin, limits));
        }
        if (command instanceof Command.FinishClaims finish) {
            return new CommandResult.ClaimsDecided(claims.finish(finish, limits));
        }
        if (command instanceof Command.JoinHost join) {
            return members.join(join.host());
        }
        if (command instanceof Command.EndHost end) {
            return members.end(end, limits.endedHosts());
        }
        if (command instanceof Command.ExpireClaims expire) {
            return new CommandResult.ClaimsExpired(claims.expire(expire.wallMillis(), limits));
        }
        if (command instanceof Command.StartLeadership start) {
            return startLeadership(start);
        }
        if (command instanceof Command.SetEvacuation set) {
            return setEvacuation(set);
        }
        throw new IllegalStateException("unknown command " + command);
    }

    private CommandResult startLeadership(Command.StartLeadership start) {
        limits = start.limits();
        fencing = FencingNumber.of(Math.max(fencing.value() + 1, start.term()));
        return new CommandResult.LeadershipStarted(fencing);
    }

    private CommandResult setEvacuation(Command.SetEvacuation set) {
        boolean changed = evacuations.set(
                set.domain(), set.evacuated(), set.expectedChange(), set.wallMillis(), set.acceptedBy());
        Evacuations now = evacuations.evacuations();
        return new CommandResult.EvacuationDecided(changed, now.isEvacuated(set.domain()), now.changeOf(set.domain()));
    }

    /** Last log index applied. */
    public long index() {
        return index;
    }

    public ControlLimits limits() {
        return limits;
    }

    /** Fencing number of the most recent leader. */
    public FencingNumber fencing() {
        return fencing;
    }

    /** Replicated time: the greatest wall clock of any command, in milliseconds since 1970. */
    public long timeMillis() {
        return claims.timeMillis();
    }

    public Configuration configuration() {
        return tickets.configuration();
    }

    public ConfigDelta configSince(ConfigVersion from) {
        Configuration current = tickets.configuration();
        if (from.compareTo(current.version()) >= 0) {
            return new ConfigDelta(from, current.version(), List.of());
        }
        return current.changesSince(from);
    }

    /** Number of the most recent change of the members. */
    public long membersVersion() {
        return members.version();
    }

    public Collection<Member> members() {
        return Collections.unmodifiableCollection(members.members());
    }

    public Optional<Member> member(HostId id) {
        return members.member(id);
    }

    public MembersDelta membersSince(long from) {
        return members.changesSince(from);
    }

    /** The accepted ticket of a number, else the first one refused under it; empty when no record is retained. */
    public Optional<TicketRecord> ticket(TicketNumber number) {
        return tickets.record(number);
    }

    /** The decision on one content under a number; empty when its record is not retained. */
    public Optional<TicketRecord> ticket(TicketNumber number, String digest) {
        return tickets.record(number, digest);
    }

    public TicketList tickets(TicketListQuery query) {
        return new TicketList(tickets.list(query));
    }

    public Optional<Claim> claim(ClaimKey key) {
        return claims.claim(key);
    }

    public int claims() {
        return claims.claims().size();
    }

    public Evacuations evacuations() {
        return evacuations.evacuations();
    }

    /** Number of the latest change of any evacuation; 0 before the first one. */
    public long evacuationVersion() {
        return evacuations.version();
    }

    /** Copies the whole state, for the snapshot storage to write. */
    public ControlSnapshot snapshot() {
        return new ControlSnapshot(
                index,
                limits,
                fencing,
                configuration().version(),
                objectsByKey(),
                tickets.records(),
                tickets.floor().orElse(null),
                members.version(),
                members.floor(),
                new ArrayList<>(members.members()),
                new ArrayList<>(members.ended()),
                claims.timeMillis(),
                claims.expiryFloorMillis(),
                new ArrayList<>(claims.claims()),
                evacuations.version() == 0 ? null : evacuations.evacuations());
    }

    /** Sorted by key on every replica, so that snapshots of equal states are equal byte for byte. */
    private List<VersionedObject> objectsByKey() {
        List<VersionedObject> objects = new ArrayList<>(configuration().objects());
        objects.sort(Comparator.comparing(o -> o.object().key()));
        return objects;
    }

    Optional<Incarnation> replacingIncarnation(HostRecord host) {
        return members.replacingIncarnation(host);
    }

    HostRecord mergeLeaving(HostRecord host) {
        return members.mergeLeaving(host);
    }
}
