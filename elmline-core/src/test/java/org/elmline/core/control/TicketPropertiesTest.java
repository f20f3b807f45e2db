package org.elmline.core.control;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.BackendRole;
import org.elmline.core.config.ConfigDelta;
import org.elmline.core.config.ConfigObject;
import org.elmline.core.config.Configuration;
import org.elmline.core.config.VersionedObject;

import static org.elmline.core.control.ControlFixture.model;
import static org.elmline.core.control.ControlFixture.role;
import static org.elmline.core.control.ControlFixture.ticket;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Compares tickets in any order, with repeats, races and restarts, with a reference model that retains every decision.
 */
class TicketPropertiesTest {
    private record Step(Ticket ticket, boolean restart, boolean catchUp) {}

    /** Reference model: keeps every decided content and every object in one map each and applies the rules directly. */
    private static final class ReferenceTickets {
        private record Content(TicketNumber number, Set<ConfigObject> objects) {}

        private final Map<Content, String> decided = new HashMap<>();
        private final Set<Long> takenNumbers = new HashSet<>();
        private final Map<String, Long> newest = new HashMap<>();
        private final Map<String, ConfigObject> objects = new HashMap<>();

        String submit(Ticket ticket) {
            Content content = new Content(ticket.number(), Set.copyOf(ticket.objects()));
            return decided.computeIfAbsent(content, c -> {
                String outcome = decide(ticket);
                if (outcome.equals("accepted")) {
                    takenNumbers.add(ticket.number().value());
                    ticket.objects().forEach(o -> objects.put(o.key(), o));
                    ticket.objects()
                            .forEach(o -> newest.put(o.key(), ticket.number().value()));
                }
                return outcome;
            });
        }

        private String decide(Ticket ticket) {
            long number = ticket.number().value();
            if (takenNumbers.contains(number)) {
                return "TICKET_NUMBER_TAKEN";
            }
            if (ticket.objects().stream().anyMatch(o -> newest.getOrDefault(o.key(), -1L) > number)) {
                return "STALE_TICKET";
            }
            Map<String, ConfigObject> after = new HashMap<>(objects);
            ticket.objects().forEach(o -> after.put(o.key(), o));
            for (ConfigObject each : ticket.objects()) {
                if (each instanceof BackendRole role && !after.containsKey("model/" + role.model())) {
                    return "BAD_REQUEST";
                }
            }
            return "accepted";
        }
    }

    @Property(seed = "41", tries = 300)
    void decidesLikeTheReferenceModel(@ForAll("steps") List<Step> steps) {
        ControlFixture control = new ControlFixture();
        ReferenceTickets reference = new ReferenceTickets();
        Configuration follower = Configuration.EMPTY;
        for (Step each : steps) {
            if (each.restart()) {
                control.restart();
            }
            Configuration before = control.state.configuration();
            String expected = reference.submit(each.ticket());

            assertEquals(expected, outcomeName(control.submit(each.ticket())));

            checkNothingReverts(before, control.state.configuration());
            assertEquals(reference.objects, objects(control.state.configuration()));
            if (each.catchUp()) {
                ConfigDelta delta = control.state.configSince(follower.version());
                follower = follower.with(delta);
                assertEquals(objects(control.state.configuration()), objects(follower));
            }
        }
    }

    // With hardly any records retained, a ticket that was accepted once may be refused as stale, but nothing is applied
    // twice and nothing reverts.
    @Property(seed = "42", tries = 300)
    void nothingRevertsWithFewRetainedRecords(@ForAll("steps") List<Step> steps) {
        ControlFixture control = new ControlFixture();
        control.limits(new ControlLimits(2, 10, 10, 1_000, 10, 10));
        Map<Long, String> accepted = new HashMap<>();
        for (Step each : steps) {
            if (each.restart()) {
                control.restart();
            }
            Configuration before = control.state.configuration();

            control.submit(each.ticket());

            checkNothingReverts(before, control.state.configuration());
            boolean applied =
                    !before.version().equals(control.state.configuration().version());
            if (applied) {
                String digest = TicketDigest.of(each.ticket());
                String earlier = accepted.put(each.ticket().number().value(), digest);
                assertEquals(null, earlier, "number " + each.ticket().number() + " applied twice");
            }
        }
    }

    private static void checkNothingReverts(Configuration before, Configuration after) {
        for (VersionedObject old : before.objects()) {
            VersionedObject current = after.object(old.object().key()).orElseThrow();
            boolean same = current.equals(old);
            assertTrue(same || current.ticket().compareTo(old.ticket()) > 0, old + " became " + current);
        }
    }

    private static Map<String, ConfigObject> objects(Configuration configuration) {
        return configuration.objects().stream()
                .collect(Collectors.toMap(o -> o.object().key(), o -> o.object()));
    }

    private static String outcomeName(TicketOutcome outcome) {
        return outcome instanceof TicketOutcome.Refused refused
                ? refused.reason().name()
                : "accepted";
    }

    @Provide
    Arbitrary<List<Step>> steps() {
        Arbitrary<ConfigObject> models = Combinators.combine(Arbitraries.of("a", "b"), Arbitraries.of("v1", "v2"))
                .as((name, version) -> model(name, version));
        Arbitrary<ConfigObject> roles = Combinators.combine(Arbitraries.of("e1", "e2"), Arbitraries.of("a", "b"))
                .as((server, name) -> role(server, name, "v1"));
        Arbitrary<Ticket> tickets = Combinators.combine(
                        Arbitraries.longs().between(1, 9),
                        Arbitraries.oneOf(models, roles)
                                .list()
                                .ofMinSize(1)
                                .ofMaxSize(3)
                                .uniqueElements(ConfigObject::key))
                .as((number, objects) -> ticket(number, "nok", objects.toArray(new ConfigObject[0])));
        return Combinators.combine(tickets, Arbitraries.of(true, false, false), Arbitraries.of(true, false))
                .as(Step::new)
                .list()
                .ofMinSize(5)
                .ofMaxSize(40);
    }
}
