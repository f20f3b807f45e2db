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
    private static final int OPERATIONS = 16;

    private record Asked(Process by, LeaseRequest request, long atNanos) {}

    private record Told(Process to, LeaseAnswer.Granted grant, long askedNanos) {}

    /** One incarnation of an entry. It is frozen whenever no step concerns it. */
    private static final class Process {
        private final HostRecord record;
        private final HostLease lease = new HostLease();
        private ConfigVersion inForce = ConfigVersion.of(0);

        private Process(HostRecord record) {
            this.record = record;
        }
    }

    private static final class World {
        private final ControlFixture control = new ControlFixture();
        private final List<Process> processes = new ArrayList<>();
        private final List<Asked> asked = new ArrayList<>();
        private final List<Told> told = new ArrayList<>();
        private final Deque<Command> proposed = new ArrayDeque<>();
        private final TreeSet<ConfigVersion> reported = new TreeSet<>();
        private LeaseManager keeper = new LeaseManager(control.state, SETTINGS, 0);
        private long leaderUntil = MILLISECONDS.toNanos(LEADER_LEASE_MILLIS);
        private long now;

        private World() {
            processes.add(new Process(host("a", 1)));
            processes.add(new Process(host("b", 1)));
        }

        void step(int operation, int choice) {
            switch (operation) {
                case 0, 1 -> advance(1 + 13L * (choice % 199));
                case 2, 3, 4 -> ask(pick(processes, choice));
                case 5, 6, 7 -> decide(take(asked, choice));
                case 8, 9, 10 -> grant(take(told, choice));
                case 11, 12 -> applyNext();
                case 13 -> proposed.addAll(keeper.endExpired(now));
                case 14 -> restartOrSubmit(choice);
                default -> leadOn(choice);
            }
        }

        private void advance(long millis) {
            now += MILLISECONDS.toNanos(millis);
        }

        private void ask(Process process) {
            asked.add(new Asked(process, new LeaseRequest(process.record, process.inForce, 0), now));
        }

        private void decide(Asked ask) {
            if (ask == null) {
                return;
            }
            LeaseDecision decision = keeper.renew(ask.request(), now, leaderUntil, List.of());
            if (decision instanceof LeaseDecision.Join join) {
                proposed.add(join.command());
            } else if (((LeaseDecision.Answer) decision).answer() instanceof LeaseAnswer.Granted granted) {
                told.add(new Told(ask.by(), granted, ask.atNanos()));
            }
        }

        private void grant(Told answer) {
            if (answer == null) {
                return;
            }
            ConfigVersion to = answer.grant().config().to();
            answer.to().inForce = to.compareTo(answer.to().inForce) > 0 ? to : answer.to().inForce;
            answer.to().lease.recordGrant(answer.askedNanos(), answer.grant().leaseMillis());
        }

        private void applyNext() {
            if (!proposed.isEmpty()) {
                control.apply(proposed.remove());
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
        private void leadOn(int choice) {
            if (choice % 2 == 0 && now < leaderUntil) {
                leaderUntil = now + MILLISECONDS.toNanos(LEADER_LEASE_MILLIS);
                return;
            }
            now = Math.max(now, leaderUntil);
            while (choice % 3 == 0 && !proposed.isEmpty()) {
                applyNext();
            }
            proposed.clear();
            keeper = new LeaseManager(control.state, SETTINGS, now);
            leaderUntil = now + MILLISECONDS.toNanos(LEADER_LEASE_MILLIS);
        }

        void check() {
            for (TicketRecord each :
                    control.state.tickets(new TicketListQuery(null, 99)).tickets()) {
                if (keeper.status(each, now).inForce()) {
                    reported.add(((TicketOutcome.Accepted) each.outcome()).version());
                }
            }
            for (Process each : processes) {
                boolean admits = each.lease.isValid(now);
                boolean old = !reported.isEmpty() && each.inForce.compareTo(reported.last()) < 0;
                assertTrue(!admits || !old, () -> each.record.id() + " admits under an old configuration");
                assertTrue(!admits || isKnown(each), () -> each.record.id() + " admits and is no member");
            }
        }

        private boolean isKnown(Process process) {
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
    void inForceIsTrueAtEveryProcessThatAdmits(@ForAll("steps") List<Integer> steps) {
        World world = new World();
        for (int each : steps) {
            world.step(each % OPERATIONS, each / OPERATIONS);
            world.check();
        }
    }

    @Provide
    Arbitrary<List<Integer>> steps() {
        return ControlFixture.steps(60, 200);
    }
}
