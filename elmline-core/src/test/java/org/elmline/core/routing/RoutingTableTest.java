package org.elmline.core.routing;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.ServiceName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests matching of calls to routes, and validation of tables. */
class RoutingTableTest {
    private static final ServiceName DESK = ServiceName.of("desk");
    private static final ServiceName BOOKING = ServiceName.of("booking");

    private static CallRoute.Builder route(String prefix) {
        return CallRoute.builder()
                .name("r" + prefix)
                .hostAndPath("host.example", prefix)
                .weightedServices(List.of(new WeightedService(DESK, 1)));
    }

    private static RoutingTable.Builder builder() {
        return RoutingTable.builder(7)
                .service(new RoutedService(DESK, 10, null))
                .service(new RoutedService(BOOKING, 10, null));
    }

    private static RoutingTable table(RoutingTable.Builder builder) {
        return ((RoutingTable.BuildResult.Valid) builder.build()).table();
    }

    private static void assertInvalid(RoutingTable.Builder builder) {
        assertInstanceOf(RoutingTable.BuildResult.Invalid.class, builder.build());
    }

    @Test
    void theLongestPrefixWins() {
        RoutingTable table = table(builder()
                .route(route("/a/").build())
                .route(route("/a/b/").build())
                .route(route("/").build()));
        assertEquals(
                "r/a/b/",
                allowed(table.match("host.example", "/a/b/c", null)).route().name());
        assertEquals(
                "r/a/",
                allowed(table.match("HOST.example:80", "/a/bc", null)).route().name());
        assertEquals(
                "r/", allowed(table.match("host.example", "/b", null)).route().name());
        assertInstanceOf(RouteMatch.NoRoute.class, table.match("other.example", "/a/", null));
        assertInstanceOf(RouteMatch.NoRoute.class, table.match(null, "/a/", null));
    }

    private static RouteMatch.Allowed allowed(RouteMatch match) {
        return assertInstanceOf(RouteMatch.Allowed.class, match);
    }

    @Test
    void requiresKeyUnlessRouteAllowsAnonymous() {
        KeyHolder guides = new KeyHolder(OrganisationId.of("guides"), List.of("k1", "k2"), 3);
        RoutingTable table = table(builder()
                .requiresKey(true)
                .keyHolder(guides)
                .route(route("/a/").build())
                .route(route("/open/").allowsAnonymous(true).build()));
        assertInstanceOf(RouteMatch.UnknownKey.class, table.match("host.example", "/a/", null));
        assertInstanceOf(RouteMatch.UnknownKey.class, table.match("host.example", "/a/", "k3"));
        RouteMatch.Allowed match = allowed(table.match("host.example", "/a/", "k2"));
        assertEquals("guides", match.caller().organisation().value());
        assertEquals(3, match.priority(), "an organisation's priority overrides the route's");
        assertEquals(null, allowed(table.match("host.example", "/open/", null)).caller());
    }

    @Test
    void rejectsInvalidTables() {
        assertInvalid(builder()
                .route(route("/a/").build())
                .route(route("/a/").timeoutMillis(5).build()));
        assertInvalid(builder().route(route("/a/").timeoutMillis(0).build()));
        assertInvalid(builder().route(route("/a").build()));
        assertInvalid(builder()
                .route(route("/a/")
                        .weightedServices(List.of(new WeightedService(DESK, 0)))
                        .build()));
        assertInvalid(builder()
                .route(route("/a/")
                        .weightedServices(List.of(new WeightedService(ServiceName.of("x"), 1)))
                        .build()));
        assertInvalid(builder()
                .keyHolder(new KeyHolder(OrganisationId.of("a"), List.of("k"), null))
                .keyHolder(new KeyHolder(OrganisationId.of("b"), List.of("k"), null)));
        assertInvalid(builder().service(new RoutedService(DESK, 1, null)));
    }

    @Property(tries = 200, seed = "7")
    void neverChoosesServiceWithZeroWeight(@ForAll @DoubleRange(min = 0, max = 0.99) double draw) {
        CallRoute split = route("/a/")
                .weightedServices(List.of(new WeightedService(BOOKING, 0), new WeightedService(DESK, 3)))
                .build();
        assertEquals(DESK, split.chooseService(draw));
        CallRoute even = route("/a/")
                .weightedServices(List.of(new WeightedService(BOOKING, 1), new WeightedService(DESK, 1)))
                .build();
        assertEquals(draw < 0.5 ? BOOKING : DESK, even.chooseService(draw));
    }

    @Test
    void retriesOnlyIdempotentAndResumableCalls() {
        assertTrue(CallKind.IDEMPOTENT.mayRetry(false));
        assertNotEquals(true, CallKind.NOT_IDEMPOTENT.mayRetry(true));
        assertTrue(CallKind.STREAMING.mayRetry(true));
        assertNotEquals(true, CallKind.STREAMING.mayRetry(false));
    }

    /**
     * 210 thousand tokens take 0.82 s for the tokens and 2.02 s for their pairs with the figures of the users' engines.
     */
    @Test
    void prefillTimeIncludesPairsOfTokens() {
        BatchTiming timing = new BatchTiming(11, 450_000, 46, 0.925, 0.007, 0.00254, 256, 0.0917, 2048, 0.1);
        assertEquals(2_842, timing.prefillMillis(210_000), 1);
        assertEquals(46 * (0.925 + 2 * 0.007 + 10 * 0.00254), timing.passMillis(2, 10_000), 1e-9);
    }
}
