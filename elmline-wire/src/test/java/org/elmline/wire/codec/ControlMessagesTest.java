package org.elmline.wire.codec;

import java.util.List;
import java.util.SplittableRandom;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.Model;
import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.ClaimFinish;
import org.elmline.core.control.ClaimKey;
import org.elmline.core.control.ClaimOwner;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.ControlLimits;
import org.elmline.core.control.ControlSnapshot;
import org.elmline.core.control.ControlState;
import org.elmline.core.control.IdempotencyKey;
import org.elmline.core.control.RecordedAnswer;
import org.elmline.core.control.Ticket;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ControlMessagesTest {
    private static final OrganisationId ORGANISATION = OrganisationId.of("zrno");
    private static final long ISSUED = 1_800_000_000_000L;

    // A control host restarts after hundreds of changes: the commands and the snapshot that it wrote must restore the
    // same state. Otherwise it would answer a resent ticket or a repeated fee differently from the other hosts.
    @Test
    void decodedCommandsAndSnapshotsRestoreTheSameState() {
        for (Codec codec : List.of(Codecs.MESSAGE_PACK, Codecs.JSON)) {
            ControlState state = new ControlState();
            ControlState replayed = new ControlState();
            for (int i = 1; i <= 300; i++) {
                Command command = command(i);
                CommandResult result = state.apply(i, command);
                assertEquals(result, replayed.apply(i, roundTrip(codec, command, Command.class)));
                assertEquals(result, roundTrip(codec, result, CommandResult.class));
            }

            ControlSnapshot snapshot = state.snapshot();
            assertEquals(snapshot, replayed.snapshot());
            assertEquals(snapshot, roundTrip(codec, snapshot, ControlSnapshot.class));
            assertEquals(
                    snapshot,
                    ControlState.restore(roundTrip(codec, snapshot, ControlSnapshot.class))
                            .snapshot());
        }
    }

    private static Command command(int i) {
        ClaimOwner owner = new ClaimOwner(HostId.of("e1"), Incarnation.of(1), i / 4);
        IdempotencyKey key = IdempotencyKey.issue(ORGANISATION, ISSUED + i / 4, new SplittableRandom(i / 4));
        ClaimKey claim = new ClaimKey(ORGANISATION, key);
        switch (i % 4) {
            case 0:
                return new Command.BeginClaims(ISSUED, List.of(new ClaimBegin(claim, "digest", owner)));
            case 1:
                byte[] body = {1, 2, (byte) i};
                List<RecordedAnswer.Header> headers = List.of(new RecordedAnswer.Header("Location", "/fees/" + i));
                RecordedAnswer answer = i % 8 == 1 ? null : RecordedAnswer.of(201, headers, body);
                return new Command.FinishClaims(ISSUED, List.of(new ClaimFinish(claim, owner, answer)));
            case 2:
                ModelName name = ModelName.of("m" + i % 20);
                Model model = new Model(name, "v" + i, List.of("a"), 10, 10, 0, false);
                return Command.ApplyTicket.of(new Ticket(TicketNumber.of(i / 3), "ana", List.of(model)));
            default:
                return new Command.StartLeadership(HostId.of("c1"), i, new ControlLimits(50, 99, 99, 999, 2, 9));
        }
    }

    private static <T> T roundTrip(Codec codec, T value, Class<T> type) {
        return ((Decoded.Value<T>) codec.decode(codec.encode(value), type)).value();
    }
}
