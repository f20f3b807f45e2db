package org.elmline.core.control;

import java.util.List;
import java.util.Set;

import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.config.ConfigDelta;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.elmline.core.control.ControlFixture.host;
import static org.elmline.core.control.ControlFixture.model;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

class LeaseManagerTest {
    private static final LeaseSettings SETTINGS = new LeaseSettings(4_000, 500);
    private static final long LATE_LEADER_LEASE_END = Long.MAX_VALUE / 2;

    private final ControlFixture control = new ControlFixture();
    private LeaseManager manager;

    @BeforeEach
    void startLeadership() {
        manager = new LeaseManager(control.state, SETTINGS, 0);
    }

    @Test
    void firstRenewalJoinsAndTheNextDeliversTheFullState() {
        control.submit(1, model("elm-desk", "v1"));

        LeaseDecision first = manager.renew(request("a", 1, 0), at(10), LATE_LEADER_LEASE_END, List.of());
        control.apply(assertInstanceOf(LeaseDecision.Join.class, first).command());
        LeaseAnswer.Granted granted = granted("a", 1, 0, 20);

        assertEquals(4_000, granted.leaseMillis());
        assertEquals(1, granted.config().changed().size());
        assertEquals(List.of(host("a", 1)), granted.members().changed());
        ConfigDelta next = granted("a", 1, 1, 30).config();
        assertTrue(next.changed().isEmpty());
    }

    // Otherwise two leaders could grant at the same time, and the new one could report a ticket in force while entries
    // renew under the old one's configuration. A leader grants nothing once its own lease has expired, even if it has
    // not been notified of a successor.
    @Test
    void grantsOnlyInsideTheLeadersOwnLease() {
        join("a", 1, 0);

        LeaseDecision late = manager.renew(request("a", 1, 0), at(100), at(100), List.of());

        assertEquals(new LeaseDecision.Answer(new LeaseAnswer.NotLeader(null)), late);
    }

    // Host "a" is restarted while its first process is only frozen. That process resumes and sends a renewal; a grant
    // would leave two processes serving under one host id.
    @Test
    void laterIncarnationReplacesAnEarlierOne() {
        join("a", 1, 0);
        join("a", 2, 1_000);

        LeaseDecision oldRenewal = manager.renew(request("a", 1, 0), at(2_000), LATE_LEADER_LEASE_END, List.of());
        assertEquals(new LeaseDecision.Answer(new LeaseAnswer.Replaced(Incarnation.of(2))), oldRenewal);

        control.apply(end("a", 60_000));
        oldRenewal = manager.renew(request("a", 1, 0), at(61_000), LATE_LEADER_LEASE_END, List.of());
        assertEquals(new LeaseDecision.Answer(new LeaseAnswer.Replaced(Incarnation.of(2))), oldRenewal);
    }

    @Test
    void ticketIsInForceOnceAcknowledgedOrTheLeaseIsOver() {
        join("a", 1, 5_000);
        join("b", 1, 5_000);
        control.submit(1, model("elm-desk", "v1"));

        assertEquals(List.of(HostId.of("a"), HostId.of("b")), status(5_100).outstanding());
        granted("a", 1, 1, 5_200);
        assertEquals(List.of(HostId.of("b")), status(9_400).outstanding());
        assertFalse(status(9_499).inForce());
        assertTrue(status(9_500).inForce());
    }

    // A new leader has no record of earlier leases. Reporting a ticket in force at once would be wrong for processes,
    // members and replaced ones alike, that hold leases of its predecessor and use the old configuration.
    @Test
    void newLeaderWaitsUntilLeasesOfItsPredecessorHaveExpired() {
        join("a", 1, 0);
        control.submit(1, model("elm-desk", "v1"));

        manager = new LeaseManager(control.state, SETTINGS, at(1_000));

        assertEquals(List.of(HostId.of("a")), status(5_499).outstanding());
        assertTrue(manager.endExpired(at(5_499)).isEmpty());
        granted("a", 1, 1, 2_000);
        assertFalse(status(5_499).inForce());
        assertTrue(status(5_499).settling());
        assertTrue(status(5_500).inForce());
    }

    // The frozen first process of "a" still holds its lease when the second one has acknowledged a ticket. The first
    // may admit requests under the old configuration until its lease expires.
    @Test
    void replacedProcessIsOutstandingUntilItsLeaseExpires() {
        join("a", 1, 10_000);
        control.submit(1, model("elm-desk", "v1"));
        join("a", 2, 11_000);
        granted("a", 2, 1, 12_000);
        manager.endExpired(at(12_000));

        assertEquals(List.of(HostId.of("a")), status(14_499).outstanding());
        assertTrue(status(14_500).inForce());
    }

    // A renewal arrives after the end of its membership was proposed and before it is applied. If it were granted, the
    // entry would serve for seconds without being a member, and no ticket would wait for it. It must join again first,
    // and a late copy of the end must not affect the new membership.
    @Test
    void noGrantWhileAnEndIsProposedButNotApplied() {
        join("a", 1, 0);
        Command.EndHost end = end("a", 60_000);

        LeaseDecision decision = manager.renew(request("a", 1, 0), at(60_001), LATE_LEADER_LEASE_END, List.of());
        Command.JoinHost rejoin =
                assertInstanceOf(LeaseDecision.Join.class, decision).command();
        control.apply(rejoin);

        assertEquals(new CommandResult.HostEnded(false), control.apply(end));
        granted("a", 1, 0, 60_100);
        assertTrue(manager.endExpired(at(60_200)).isEmpty());
    }

    // A stopping entry reports that it is leaving, and a delayed older renewal arrives afterwards. If that renewal
    // cleared the flag, the entry would be offered to callers again and break off their requests when it exits.
    @Test
    void leavingIsFinalForAProcess() {
        join("a", 1, 0);
        HostRecord leaving = leaving(host("a", 1));
        control.apply(new Command.JoinHost(leaving));

        granted("a", 1, 0, 100);
        control.apply(new Command.JoinHost(host("a", 1)));

        assertTrue(control.state.member(HostId.of("a")).orElseThrow().host().leaving());
    }

    // The leader's periodic expiry may run between a join's commit and the grant that follows it.
    @Test
    void joinedHostIsNotEndedBeforeItsFirstGrant() {
        manager.renew(request("a", 1, 0), at(60_000), LATE_LEADER_LEASE_END, List.of());
        control.apply(new Command.JoinHost(host("a", 1)));

        assertTrue(manager.endExpired(at(64_499)).isEmpty());
        assertEquals(1, manager.endExpired(at(64_500)).size());
    }

    @Test
    void rejectsSecondProcessOfOneIncarnation() {
        join("a", 1, 0);
        HostRecord other = host("b", 1);
        HostRecord duplicate = new HostRecord(
                HostId.of("a"),
                Incarnation.of(1),
                other.failureDomain(),
                other.region(),
                other.callers(),
                other.peers(),
                other.operators(),
                false);

        assertInstanceOf(CommandResult.HostReplaced.class, control.apply(new Command.JoinHost(duplicate)));
    }

    @Test
    void membersDeltaUpdatesAnyVersion() {
        control.limits(new ControlLimits(10, 10, 10, 1_000, 10, 1));
        join("a", 1, 0);
        join("b", 1, 0);
        join("c", 1, 0);
        assertEquals(List.of(host("c", 1)), control.state.membersSince(2).changed());

        control.apply(end("a", 60_000));
        assertEquals(List.of(HostId.of("a")), control.state.membersSince(3).removed());
        control.apply(end("b", 60_000));
        control.restart();

        MembersDelta tooOld = control.state.membersSince(3);
        assertTrue(tooOld.full());
        assertEquals(Set.of(host("c", 1)), Set.copyOf(tooOld.changed()));
        assertEquals(List.of(HostId.of("b")), control.state.membersSince(4).removed());
        assertTrue(control.state.membersSince(99).full());
    }

    private void join(String id, long incarnation, long millis) {
        control.apply(new Command.JoinHost(host(id, incarnation)));
        granted(id, incarnation, 0, millis);
    }

    private LeaseAnswer.Granted granted(String id, long incarnation, long inForce, long millis) {
        LeaseDecision decision =
                manager.renew(request(id, incarnation, inForce), at(millis), LATE_LEADER_LEASE_END, List.of());
        LeaseAnswer answer =
                assertInstanceOf(LeaseDecision.Answer.class, decision).answer();
        return assertInstanceOf(LeaseAnswer.Granted.class, answer);
    }

    private Command.EndHost end(String id, long millis) {
        return manager.endExpired(at(millis)).stream()
                .filter(e -> e.host().equals(HostId.of(id)))
                .findFirst()
                .orElseThrow();
    }

    private TicketStatus status(long millis) {
        TicketRecord record =
                control.state.tickets(new TicketListQuery(null, 1)).tickets().get(0);
        return manager.status(record, at(millis));
    }

    private static LeaseRequest request(String id, long incarnation, long inForce) {
        return new LeaseRequest(host(id, incarnation), ConfigVersion.of(inForce), 0);
    }

    private static HostRecord leaving(HostRecord host) {
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

    private static long at(long millis) {
        return MILLISECONDS.toNanos(millis);
    }
}
