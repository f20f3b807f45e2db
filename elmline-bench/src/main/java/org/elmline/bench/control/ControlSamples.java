package org.elmline.bench.control;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Region;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.BackendRole;
import org.elmline.core.config.ConfigObject;
import org.elmline.core.config.Model;
import org.elmline.core.config.Organisation;
import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.ClaimFinish;
import org.elmline.core.control.ClaimKey;
import org.elmline.core.control.ClaimOwner;
import org.elmline.core.control.Command;
import org.elmline.core.control.ControlState;
import org.elmline.core.control.HostRecord;
import org.elmline.core.control.IdempotencyKey;
import org.elmline.core.control.RecordedAnswer;
import org.elmline.core.control.Ticket;

/** Control states and commands of the sizes that the experiments need, with names as long as real ones. */
final class ControlSamples {
    static final long WALL_MILLIS = 1_800_000_000_000L;
    static final ModelName MODEL = ModelName.of("elm-desk");
    private static final int ORGANISATIONS_PER_THOUSAND = 200;
    private static final int THOUSAND = 1_000;
    /** Index of an object that is a backend role. */
    static final int ROLE_OBJECT_INDEX = THOUSAND - 1;

    private static final int FIRST_PORT = 10_000;

    private final SplittableRandom random = new SplittableRandom(1);

    /** A state with one model and as many backend roles and organisations as make {@code objects}. */
    ControlState stateOf(int objects) {
        ControlState state = new ControlState();
        state.apply(1, ticket(1, new Model(MODEL, "2026-11", List.of("roster"), 1_000_000, 4_096, 2, false)));
        for (int i = 1; i < objects; i++) {
            state.apply(i + 1L, objectTicket(i + 1L, i));
        }
        return state;
    }

    /** A ticket on the object with this index: one in five is an organisation, the others are backend roles. */
    Command.ApplyTicket objectTicket(long number, int index) {
        if (index % THOUSAND < ORGANISATIONS_PER_THOUSAND) {
            String id = "organisation-" + index;
            String keyHash = hexadecimal() + hexadecimal() + hexadecimal() + hexadecimal();
            return ticket(
                    number, new Organisation(OrganisationId.of(id), 10, 1, List.of(keyHash), 64, 1_000_000, false));
        }
        BackendServerId server = BackendServerId.of("th-north/chiangmai-a/engine-" + index);
        return ticket(number, new BackendRole(server, MODEL, "2026-11", List.of("roster"), "", true));
    }

    HostRecord host(int number) {
        String ip = "10.20." + number / 250 + "." + (1 + number % 250);
        return new HostRecord(
                HostId.of("th-north/entry-" + number),
                Incarnation.of(WALL_MILLIS + number),
                FailureDomain.of("chiangmai-a"),
                Region.of("th-north"),
                new Address(ip, FIRST_PORT),
                new Address(ip, FIRST_PORT + 1),
                new Address(ip, FIRST_PORT + 2),
                false);
    }

    List<ClaimBegin> claimBegins(int count) {
        List<ClaimBegin> begins = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            OrganisationId organisation = OrganisationId.of("organisation-" + i % THOUSAND);
            ClaimKey key = new ClaimKey(organisation, IdempotencyKey.issue(organisation, WALL_MILLIS + i, random));
            String digest = hexadecimal() + hexadecimal() + hexadecimal() + hexadecimal();
            HostId host = HostId.of("th-north/entry-" + i % 18);
            begins.add(new ClaimBegin(key, digest, new ClaimOwner(host, Incarnation.of(WALL_MILLIS), i)));
        }
        return begins;
    }

    /** Finish of a claim whose recorded answer is a seat hold of about 160 bytes with its headers. */
    static ClaimFinish claimFinish(ClaimBegin begin) {
        byte[] body = "{\"hold\":\"3f1c9a\",\"seats\":2,\"tour\":\"northern-highland-7\",\"expires\":\"12:30\"}"
                .getBytes(StandardCharsets.UTF_8);
        List<RecordedAnswer.Header> headers = List.of(
                new RecordedAnswer.Header("Content-Type", "application/json"),
                new RecordedAnswer.Header("Location", "/holds/3f1c9a"));
        return new ClaimFinish(begin.key(), begin.owner(), RecordedAnswer.of(201, headers, body));
    }

    private static Command.ApplyTicket ticket(long number, ConfigObject object) {
        return Command.ApplyTicket.of(new Ticket(TicketNumber.of(number), "operator-nok", List.of(object)));
    }

    private String hexadecimal() {
        return String.format("%016x", random.nextLong());
    }
}
