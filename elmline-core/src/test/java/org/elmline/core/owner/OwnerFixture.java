package org.elmline.core.owner;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.elmline.core.backend.Announcement;
import org.elmline.core.backend.BackendKind;
import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.Region;
import org.elmline.core.control.HostRecord;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PlacementPolicy;
import org.elmline.core.placement.Replica;
import org.elmline.core.route.FirstToken;
import org.elmline.core.route.GrantReport;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.Release;
import org.elmline.core.route.ReleaseCause;

/** One owner with engines that read 10,000 tokens a second, driven by a clock that the test advances. */
public final class OwnerFixture {
    public static final ModelName MODEL = ModelName.of("elm-small");
    public static final HostId GATEWAY = HostId.of("gateway");
    public static final Incarnation FIRST = Incarnation.of(1);
    public static final long MILLI = 1_000_000L;
    private static final long SPEED = 10_000;
    private static final int PORT = 9_000;

    public final Owner owner;
    public long now;
    private int attempts;

    public OwnerFixture(OwnerSettings settings) {
        owner = new Owner(host("owner", "a"), new LeastBacklog(), new Random(7), settings);
        owner.leaseUntil(Long.MAX_VALUE);
        owner.members(List.of(host("owner", "a"), host(GATEWAY.value(), "b")), now);
    }

    public OwnerFixture() {
        this(OwnerSettings.builder().build());
    }

    public static HostRecord host(String id, String domain) {
        Address address = new Address("127.0.0.1", PORT);
        return new HostRecord(
                HostId.of(id), FIRST, FailureDomain.of(domain), Region.of("north"), address, address, address, false);
    }

    public static Announcement engine(String id, long incarnation, long capacity, boolean leaving) {
        return new Announcement(
                BackendServerId.of(id),
                Incarnation.of(incarnation),
                BackendKind.ENGINE,
                "standin",
                new Address("127.0.0.1", PORT),
                FailureDomain.of("a"),
                Region.of("north"),
                List.of(MODEL.value()),
                List.of("1"),
                List.of(),
                "",
                capacity,
                SPEED,
                null,
                false,
                leaving);
    }

    public OwnerFixture engines(int count, long capacity) {
        for (int i = 0; i < count; i++) {
            owner.announce(engine("engine-" + i, 1, capacity, false), now);
        }
        return this;
    }

    public PlaceRequest request(String organisation, int promptTokens, int priority, long remainingMillis) {
        Demand demand = new Demand(MODEL, "", promptTokens, 100, List.of(), priority, remainingMillis, Set.of());
        AttemptId attempt = AttemptId.of("attempt-" + attempts++);
        return new PlaceRequest(attempt, GATEWAY, FIRST, OrganisationId.of(organisation), demand);
    }

    public Optional<OwnerPlaceAnswer> place(PlaceRequest request) {
        return owner.place(request, now);
    }

    public void firstToken(AttemptId attempt) {
        owner.report(new GrantReport(GATEWAY, FIRST, List.of(new FirstToken(attempt, 0)), List.of()), now);
    }

    public int release(AttemptId attempt, ReleaseCause cause) {
        Release release = new Release(attempt, cause);
        return owner.report(new GrantReport(GATEWAY, FIRST, List.of(), List.of(release)), now)
                .unknown();
    }

    public List<OwnerDecision> advance(long millis) {
        now += millis * MILLI;
        return owner.advance(now);
    }

    /** Free memory of all engines together in tokens, as the owner reports it to other entries. */
    public long freeTokens() {
        return owner.summary(MODEL, now).orElseThrow().groupKvTokens();
    }

    /** Advances the clock in steps of 500 ms and renews the engines' leases at each step. */
    public List<OwnerDecision> advanceWithAnnouncements(long millis, int engines, long capacity) {
        List<OwnerDecision> decided = new ArrayList<>();
        for (long passed = 0; passed < millis; passed += 500) {
            engines(engines, capacity);
            decided.addAll(advance(500));
        }
        return decided;
    }

    private static final class LeastBacklog implements PlacementPolicy {
        @Override
        public String name() {
            return "least-backlog";
        }

        @Override
        public Optional<Replica> choose(Demand demand, List<Replica> replicas, RandomGenerator random) {
            return replicas.stream()
                    .filter(each -> each.freeKvTokens() >= demand.kvTokens())
                    .min(Comparator.comparingLong((Replica each) -> each.prefillBacklogTokens())
                            .thenComparing(Replica::id));
        }
    }
}
