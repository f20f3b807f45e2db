package org.elmline.core.control;

import java.util.List;
import java.util.Optional;

import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.BackendRole;
import org.elmline.core.config.ConfigObject;
import org.elmline.core.config.Model;
import org.junit.jupiter.api.Test;

import static org.elmline.core.control.ControlFixture.model;
import static org.elmline.core.control.ControlFixture.organisation;
import static org.elmline.core.control.ControlFixture.role;
import static org.elmline.core.control.ControlFixture.ticket;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TicketTest {
    private final ControlFixture control = new ControlFixture();

    // Two operators send ticket 7 at the same time through two hosts, with different contents. Both would take theirs
    // to be in force if the second overwrote the first, or if each host decided separately. The log orders them; the
    // refusal of the second must name the accepted ticket, so that its author can compare.
    @Test
    void secondContentUnderOneNumberIsRefused() {
        Ticket first = ticket(7, "nok", model("elm-desk", "v1"));
        Ticket second = ticket(7, "ana", model("elm-desk", "v2"));

        TicketOutcome firstOutcome = control.submit(first);
        TicketOutcome secondOutcome = control.submit(second);

        assertEquals(new TicketOutcome.Accepted(ConfigVersion.of(1)), firstOutcome);
        assertEquals(RefusalReason.TICKET_NUMBER_TAKEN, reason(secondOutcome));
        String message = ((TicketOutcome.Refused) secondOutcome).message();
        assertTrue(message.contains("nok") && message.contains(TicketDigest.of(first)), message);
        assertEquals("v1", servedVersion("elm-desk"));
        assertEquals(secondOutcome, control.submit(second));
    }

    // An operator's answer is lost and the client sends the ticket again, to another host, after a restart and after a
    // later ticket on the same object. Decided anew, it would be refused as stale and the operator would conclude that
    // it never took effect; applied anew, it would revert the later ticket.
    @Test
    void resendAfterLostAnswerGetsTheRecordedAnswer() {
        TicketOutcome first = control.submit(7, model("elm-desk", "v1"));
        control.submit(8, model("elm-desk", "v2"));
        control.restart();

        assertEquals(first, control.submit(7, model("elm-desk", "v1")));
        assertEquals("v2", servedVersion("elm-desk"));
        assertEquals(2, control.state.configuration().version().value());
    }

    // Ticket 7 is refused. A delayed copy of it arrives when the model that was missing exists. Decided anew, the copy
    // would take effect although its operator received a refusal.
    @Test
    void refusedContentStaysRefused() {
        TicketOutcome refused = control.submit(7, role("e1", "elm-desk", "v1"));
        control.submit(8, model("elm-desk", "v1"));

        assertEquals(RefusalReason.BAD_REQUEST, reason(refused));
        assertEquals(refused, control.submit(7, role("e1", "elm-desk", "v1")));
        assertTrue(control.state.configuration().object("backend-role/e1").isEmpty());
    }

    @Test
    void refusedContentLeavesItsNumberFree() {
        control.submit(7, role("e1", "elm-desk", "v1"));

        TicketOutcome corrected = control.submit(7, model("elm-desk", "v1"), role("e1", "elm-desk", "v1"));

        assertEquals(new TicketOutcome.Accepted(ConfigVersion.of(1)), corrected);
        assertTrue(control.state.ticket(TicketNumber.of(7)).orElseThrow().accepted());
    }

    // A partially applied ticket would leave a state that no operator requested. One object of the ticket was set by a
    // newer ticket, the other was not: neither may change.
    @Test
    void ticketAppliesWholeOrNotAtAll() {
        control.submit(9, model("elm-desk", "v9"));

        assertEquals(
                RefusalReason.STALE_TICKET, reason(control.submit(8, model("new", "v8"), model("elm-desk", "v8"))));
        assertEquals(
                RefusalReason.BAD_REQUEST,
                reason(control.submit(10, model("elm-desk", "v10"), role("e1", "none", "v1"))));

        assertEquals("v9", servedVersion("elm-desk"));
        assertTrue(control.state.configuration().object("model/new").isEmpty());
    }

    @Test
    void rejectsUnknownNamesAndSharedApiKeys() {
        control.submit(1, model("elm-desk", "v1"), organisation("snowpaw", "k1"));
        Model gone = new Model(ModelName.of("gone"), "v1", List.of(), 1, 1, 0, true);
        List<List<ConfigObject>> invalid = List.of(
                List.of(role("e1", "none", "v1")),
                List.of(role("e1", "elm-desk", "v1", "roster", "latte")),
                List.of(gone, role("e1", "gone", "v1")),
                List.of(organisation("zrno", "k1")),
                List.of(organisation("a", "k2"), organisation("b", "k2")));
        List<List<ConfigObject>> valid = List.of(
                List.of(role("e1", "elm-desk", "v1", "roster")),
                List.of(organisation("snowpaw", "k1", "k3")),
                List.of(organisation("snowpaw", "k4"), organisation("zrno", "k1")));

        long number = 2;
        for (List<ConfigObject> each : invalid) {
            assertEquals(
                    RefusalReason.BAD_REQUEST, reason(control.submit(new Ticket(TicketNumber.of(number++), "", each))));
        }
        for (List<ConfigObject> each : valid) {
            TicketOutcome outcome = control.submit(new Ticket(TicketNumber.of(number++), "", each));
            assertTrue(outcome instanceof TicketOutcome.Accepted, outcome.toString());
        }
    }

    // A ticket on an object of its own arrives again after its record was dropped. No newer ticket has touched the
    // object, yet the answer must not be "accepted", since the number may have been used for another content.
    @Test
    void resendOlderThanTheRecordsIsRefused() {
        control.limits(new ControlLimits(2, 10, 10, 1_000, 10, 10));
        control.submit(1, model("a", "v1"));
        control.submit(2, model("b", "v1"));
        control.submit(3, model("c", "v1"));
        control.restart();

        assertEquals(RefusalReason.STALE_TICKET, reason(control.submit(1, model("d", "v1"))));
        assertEquals(RefusalReason.STALE_TICKET, reason(control.submit(1, model("a", "v1"))));
        assertEquals(new TicketOutcome.Accepted(ConfigVersion.of(2)), control.submit(2, model("b", "v1")));
        assertEquals(3, control.state.configuration().version().value());
        assertEquals(
                2,
                control.state.tickets(new TicketListQuery(null, 10)).tickets().size());
    }

    @Test
    void digestDiffersForDifferentContents() {
        Ticket base = ticket(1, "nok", model("a", "v1"), model("b", "v1"));

        assertEquals(TicketDigest.of(base), TicketDigest.of(ticket(1, "ana", model("b", "v1"), model("a", "v1"))));
        for (Ticket other : List.of(
                ticket(2, "nok", model("a", "v1"), model("b", "v1")),
                ticket(1, "nok", model("a", "v1")),
                ticket(1, "nok", model("a", "v1"), model("b", "v1", 2)))) {
            assertNotEquals(TicketDigest.of(base), TicketDigest.of(other));
        }
        BackendRole two = role("e", "m", "v", "x", "y");
        BackendRole one = role("e", "m", "v", "x, y");
        assertNotEquals(TicketDigest.of(ticket(1, "", two)), TicketDigest.of(ticket(1, "", one)));
    }

    @Test
    void listsTheHighestNumbersFirst() {
        for (int i = 1; i <= 5; i++) {
            control.submit(i, model("m" + i, "v1"));
        }

        List<TicketRecord> page = control.state
                .tickets(new TicketListQuery(TicketNumber.of(5), 2))
                .tickets();

        assertEquals(List.of(4L, 3L), page.stream().map(t -> t.number().value()).toList());
    }

    private String servedVersion(String name) {
        Optional<Model> found = control.state.configuration().model(ModelName.of(name));
        return found.map(Model::version).orElse("none");
    }

    private static RefusalReason reason(TicketOutcome outcome) {
        return ((TicketOutcome.Refused) outcome).reason();
    }
}
