package org.elmline.core.control;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.FencingNumber;
import org.elmline.core.common.HostId;
import org.elmline.core.config.Configuration;
import org.junit.jupiter.api.Test;

import static org.elmline.core.control.ControlFixture.ISSUED;
import static org.elmline.core.control.ControlFixture.SNOWPAW;
import static org.elmline.core.control.ControlFixture.answer;
import static org.elmline.core.control.ControlFixture.host;
import static org.elmline.core.control.ControlFixture.model;
import static org.elmline.core.control.ControlFixture.owner;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

class ControlStateTest {
    private final ControlFixture control = new ControlFixture();

    // A control host and an entry return after hundreds of changes. The control host restores a snapshot and applies
    // the rest of the log, the entry requests the changes since its version; either could miss a change, a removal or a
    // claim.
    @Test
    void replicaAndEntryCatchUpAfterHundredsOfChanges() {
        Configuration entry = Configuration.EMPTY;
        ControlState replica = control.state;
        for (int i = 1; i <= 600; i++) {
            if (i == 250) {
                entry = entry.with(control.state.configSince(entry.version()));
                replica = ControlState.restore(control.state.snapshot());
            }
            for (Command each : changes(i)) {
                control.apply(each);
                if (i >= 250) {
                    replica.apply(control.state.index(), each);
                }
            }
        }
        control.restart();

        assertEquals(control.state.snapshot(), replica.snapshot());
        Configuration updatedEntry = entry.with(control.state.configSince(entry.version()));
        assertEquals(control.state.configuration().version(), updatedEntry.version());
        assertEquals(
                control.state.snapshot().objects(),
                updatedEntry.objects().stream()
                        .sorted((a, b) -> a.object().key().compareTo(b.object().key()))
                        .toList());
        assertEquals(600, control.state.snapshot().tickets().size());
    }

    @Test
    void fencingNumberIncreasesWithEveryLeader() {
        assertEquals(fencing(5), control.apply(startLeadership(5)));
        assertEquals(fencing(6), control.apply(startLeadership(5)));
        control.restart();
        assertEquals(fencing(7), control.apply(startLeadership(6)));
        assertEquals(fencing(20), control.apply(startLeadership(20)));
    }

    @Test
    void rejectsLogIndexThatDoesNotIncrease() {
        control.apply(startLeadership(1));

        assertThrows(IllegalStateException.class, () -> control.state.apply(control.state.index(), startLeadership(1)));
    }

    private List<Command> changes(int i) {
        List<Command> changes = new ArrayList<>();
        changes.add(Command.ApplyTicket.of(ControlFixture.ticket(i, "nok", model("m" + i % 50, "v" + i))));
        HostRecord host = host("h" + i % 20, i);
        changes.add(new Command.JoinHost(host));
        if (i % 3 == 0) {
            changes.add(new Command.EndHost(host.id(), host.incarnation(), control.state.membersVersion() + 1));
        }
        ClaimKey key = control.key(SNOWPAW);
        changes.add(new Command.BeginClaims(ISSUED + i, List.of(new ClaimBegin(key, "digest", owner("a", i)))));
        RecordedAnswer recorded = i % 2 == 0 ? null : answer("answer " + i);
        changes.add(new Command.FinishClaims(ISSUED + i, List.of(new ClaimFinish(key, owner("a", i), recorded))));
        return changes;
    }

    private static Command startLeadership(long term) {
        return new Command.StartLeadership(HostId.of("c1"), term, ControlLimits.DEFAULT);
    }

    private static CommandResult fencing(long number) {
        return new CommandResult.LeadershipStarted(FencingNumber.of(number));
    }
}
