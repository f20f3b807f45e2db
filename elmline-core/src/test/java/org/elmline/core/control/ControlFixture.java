package org.elmline.core.control;

import java.util.List;
import java.util.Random;

import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.EdgeCases;
import net.jqwik.api.RandomDistribution;
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

/** Factories for the objects of control tests, and a state that assigns its own log indexes. */
final class ControlFixture {
    static final OrganisationId SNOWPAW = OrganisationId.of("snowpaw");
    static final OrganisationId ZRNO = OrganisationId.of("zrno");
    static final long ISSUED = 1_800_000_000_000L;

    ControlState state = new ControlState();
    private final Random random = new Random(4);

    CommandResult apply(Command command) {
        return state.apply(state.index() + 1, command);
    }

    TicketOutcome submit(Ticket ticket) {
        return ((CommandResult.TicketDecided) apply(Command.ApplyTicket.of(ticket))).outcome();
    }

    TicketOutcome submit(long number, ConfigObject... objects) {
        return submit(ticket(number, "nok", objects));
    }

    ClaimOutcome begin(long wallMillis, ClaimBegin begin) {
        return decided(apply(new Command.BeginClaims(wallMillis, List.of(begin))));
    }

    ClaimOutcome finish(long wallMillis, ClaimFinish finish) {
        return decided(apply(new Command.FinishClaims(wallMillis, List.of(finish))));
    }

    void limits(ControlLimits limits) {
        apply(new Command.StartLeadership(HostId.of("c1"), 1, limits));
    }

    void restart() {
        state = ControlState.restore(state.snapshot());
    }

    ClaimKey key(OrganisationId organisation) {
        return new ClaimKey(organisation, IdempotencyKey.issue(organisation, ISSUED, random));
    }

    static Ticket ticket(long number, String author, ConfigObject... objects) {
        return new Ticket(TicketNumber.of(number), author, List.of(objects));
    }

    static ClaimOwner owner(String host, long session) {
        return new ClaimOwner(HostId.of(host), Incarnation.of(1), session);
    }

    static RecordedAnswer answer(String body) {
        return RecordedAnswer.of(201, List.of(), body.getBytes(java.nio.charset.StandardCharsets.UTF_8));
    }

    static Model model(String name, String version) {
        return model(name, version, 1);
    }

    static Model model(String name, String version, int minReady) {
        return new Model(ModelName.of(name), version, List.of("roster"), 1_000_000, 4_096, minReady, false);
    }

    static Organisation organisation(String id, String... keyHashes) {
        return new Organisation(OrganisationId.of(id), 1, 1, List.of(keyHashes), 0, 0, false);
    }

    static BackendRole role(String server, String model, String version, String... adapters) {
        return new BackendRole(BackendServerId.of(server), ModelName.of(model), version, List.of(adapters), "", true);
    }

    static HostRecord host(String id, long incarnation) {
        int port = 1_000 + Math.floorMod(id.hashCode(), 10_000);
        return new HostRecord(
                HostId.of(id),
                Incarnation.of(incarnation),
                FailureDomain.of("lj-a"),
                Region.of("si-central"),
                new Address("127.0.0.1", port),
                new Address("127.0.0.1", port + 1),
                new Address("127.0.0.1", port + 2),
                false);
    }

    /**
     * Numbers that encode the steps of a test, distributed uniformly: jqwik's default distribution favours small ones
     * and would seldom reach the later choices of a step.
     */
    static Arbitrary<List<Integer>> steps(int minSize, int maxSize) {
        return Arbitraries.integers()
                .between(0, 99_999)
                .withDistribution(RandomDistribution.uniform())
                .edgeCases(EdgeCases.Config::none)
                .list()
                .ofMinSize(minSize)
                .ofMaxSize(maxSize)
                .withSizeDistribution(RandomDistribution.uniform());
    }

    private static ClaimOutcome decided(CommandResult result) {
        return ((CommandResult.ClaimsDecided) result).outcomes().get(0);
    }
}
