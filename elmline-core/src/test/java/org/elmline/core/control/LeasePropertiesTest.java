package org.elmline.core.control;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeSet;

import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.HostId;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.elmline.core.control.ControlFixture.host;
import static org.elmline.core.control.ControlFixture.model;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Entries freeze and restart, leaders change, and messages are delayed, reordered and lost: a ticket once reported in
 * force is in force at every process that still admits requests.
 */
class LeasePropertiesTest {
    private static final LeaseSettings SETTINGS = new LeaseSettings(4_000, 500);
    private static final long LEADER_LEASE_MILLIS = 2_000;
    private static final int OPERATION_COUNT = 16;

    private record PendingRenewal(Process sender, LeaseRequest request, long sentNanos) {}

    private record PendingGrant(Process recipient, LeaseAnswer.Granted grant, long sentNanos) {}

    /** One incarnation of an entry. It is frozen whenever no step concerns it. */
    private static final class Process {
        private final HostRecord record;
        private final HostLease lease = new HostLease();
        private ConfigVersion inForce = ConfigVersion.of(0);

        private Process(HostRecord record) {
            this.record = record;
        }
    }

    private static final class Simulation {
        private final ControlFixture control = new ControlFixture();
        private final List<Process> processes = new ArrayList<>();
        private final List<PendingRenewal> pendingRenewals = new ArrayList<>();
        private final List<PendingGrant> pendingGrants = new ArrayList<>();
        private final Deque<Command> proposals = new ArrayDeque<>();
        private final TreeSet<ConfigVersion> reported = new TreeSet<>();
        private LeaseManager manager = new LeaseManager(control.state, SETTINGS, 0);
        private long leaderUntilNanos = MILLISECONDS.toNanos(LEADER_LEASE_MILLIS);
        private long nowNanos;

        private Simulation() {
            processes.add(new Process(host("a", 1)));
            processes.add(new Process(host("b", 1)));
        }

        void step(int operation, int choice) {
            switch (operation) {
                case 0, 1 -> advance(1 + 13L * (choice % 199));
                case 2, 3, 4 -> sendRenewal(pick(processes, choice));
                case 5, 6, 7 -> deliverRenewal(take(pendingRenewals, choice));
                case 8, 9, 10 -> deliverGrant(take(pendingGrants, choice));
                case 11, 12 -> applyNext();
                case 13 -> proposals.addAll(manager.endExpired(nowNanos));
                case 14 -> restartOrSubmit(choice);
                default -> renewOrChangeLeader(choice);
            }
        }

        private void advance(long millis) {
            nowNanos += MILLISECONDS.toNanos(millis);
        }

        private void sendRenewal(Process process) {
            pendingRenewals.add(
                    new PendingRenewal(process, new LeaseRequest(process.record, process.inForce, 0), nowNanos));
        }

        private void deliverRenewal(PendingRenewal renewal) {
            if (renewal == null) {
                return;
            }
            LeaseDecision decision = manager.renew(renewal.request(), nowNanos, leaderUntilNanos, List.of());
            if (decision instanceof LeaseDecision.Join join) {
                proposals.add(join.command());
            } else if (((LeaseDecision.Answer) decision).answer() instanceof LeaseAnswer.Granted granted) {
                pendingGrants.add(new PendingGrant(renewal.sender(), granted, renewal.sentNanos()));
            }
        }

        private void deliverGrant(PendingGrant answer) {
            if (answer == null) {
                return;
            }
            ConfigVersion to = answer.grant().config().to();
            answer.recipient().inForce = to.compareTo(answer.recipient().inForce) > 0 ? to : answer.recipient().inForce;
            answer.recipient()
                    .lease
                    .recordGrant(answer.sentNanos(), answer.grant().leaseMillis());
        }

        private void applyNext() {
            if (!proposals.isEmpty()) {
                control.apply(proposals.remove());
            }
        }

        private void restartOrSubmit(int choice) {
            if (choice % 3 == 0) {
                Process old = pick(processes, choice);
                long next = processes.size();
                processes.add(new Process(host(old.record.id().value(), next)));
                return;
            }
            control.submit(control.state.index() + 1, model("m", "v" + choice));
        }

        /**
         * The same leader renews its lease, or another one takes over once it has expired; proposals are lost or
         * applied first.
         */
        private void renewOrChangeLeader(int choice) {
            if (choice % 2 == 0 && nowNanos < leaderUntilNanos) {
                leaderUntilNanos = nowNanos + MILLISECONDS.toNanos(LEADER_LEASE_MILLIS);
                return;
            }
            nowNanos = Math.max(nowNanos, leaderUntilNanos);
            while (choice % 3 == 0 && !proposals.isEmpty()) {
                applyNext();
            }
            proposals.clear();
            manager = new LeaseManager(control.state, SETTINGS, nowNanos);
            leaderUntilNanos = nowNanos + MILLISECONDS.toNanos(LEADER_LEASE_MILLIS);
        }

        void checkInvariants() {
            for (TicketRecord each :
                    control.state.tickets(new TicketListQuery(null, 99)).tickets()) {
                if (manager.status(each, nowNanos).inForce()) {
                    reported.add(((TicketOutcome.Accepted) each.outcome()).version());
                }
            }
            for (Process each : processes) {
                boolean admits = each.lease.isValid(nowNanos);
                boolean outdated = !reported.isEmpty() && each.inForce.compareTo(reported.last()) < 0;
                assertTrue(
                        !admits || !outdated,
                        () -> each.record.id() + " admits requests under an outdated configuration");
                assertTrue(
                        !admits || isMemberOrReplaced(each),
                        () -> each.record.id() + " admits requests but is neither a member nor replaced");
            }
        }

        private boolean isMemberOrReplaced(Process process) {
            HostId id = process.record.id();
            boolean member = control.state.member(id).isPresent();
            return member || control.state.replacingIncarnation(process.record).isPresent();
        }

        private static <T> T pick(List<T> from, int choice) {
            return from.get(choice % from.size());
        }

        private static <T> T take(List<T> from, int choice) {
            return from.isEmpty() ? null : from.remove(choice % from.size());
        }
    }

    @Property(seed = "43", tries = 2_000)
    void reportedTicketIsInForceAtEveryProcessThatAdmits(@ForAll("steps") List<Integer> steps) {
        Simulation simulation = new Simulation();
        for (int each : steps) {
            simulation.step(each % OPERATION_COUNT, each / OPERATION_COUNT);
            simulation.checkInvariants();
        }
    }

    @Provide
    Arbitrary<List<Integer>> steps() {
        return ControlFixture.steps(60, 200);
    }
}
