package org.elmline.core.ledger;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.elmline.core.common.Address;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.owner.OwnerFixture;
import org.elmline.core.route.Grant;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * An engine would lose memory permanently if any path reserved a grant without releasing it, or be overfilled if any
 * released one twice. Paths overlap: releases come late, twice, before the request or after a restart. So random
 * sequences of all of them run against a plain list of the open grants that is counted anew after every step.
 */
class LedgerRecountTest {
    private static final int ENGINES = 3;
    private static final int ATTEMPTS = 12;
    private static final long CAPACITY = 1_000_000;

    private Ledger ledger;
    private final Map<AttemptId, Open> open = new LinkedHashMap<>();
    private final Set<AttemptId> ended = new HashSet<>();
    private final Map<BackendServerId, Long> incarnations = new LinkedHashMap<>();

    /** All tries share this instance. */
    @BeforeTry
    void reset() {
        ledger = new Ledger(LedgerSettings.DEFAULT);
        open.clear();
        ended.clear();
        incarnations.clear();
    }

    @Property(tries = 300, seed = "5001")
    void countsEqualRecountAfterAnySequence(@ForAll long seed) {
        Random random = new Random(seed);
        for (int step = 0; step < 200; step++) {
            step(random, step);
            recount();
        }
    }

    private void step(Random random, long now) {
        BackendServerId server = BackendServerId.of("engine-" + random.nextInt(ENGINES));
        AttemptId attempt = AttemptId.of("attempt-" + random.nextInt(ATTEMPTS) + "-" + nameSuffix(now));
        switch (random.nextInt(8)) {
            case 0 -> announce(server, incarnations.getOrDefault(server, 0L) + random.nextInt(2), now);
            case 1, 2, 3 -> reserve(server, attempt, random, now);
            case 4, 5 -> end(attempt, random.nextBoolean(), now);
            case 6 -> firstToken(attempt, now);
            default -> begin(attempt, random, server, now);
        }
    }

    /** Attempts get new names every fifty steps, so that some are new, some open and some released. */
    private static long nameSuffix(long now) {
        return now / 50;
    }

    private void announce(BackendServerId server, long incarnation, long step) {
        if (!Long.valueOf(incarnation).equals(incarnations.put(server, incarnation))) {
            drop(server);
        }
        ledger.announce(OwnerFixture.engine(server.value(), incarnation, CAPACITY, false), step);
    }

    private void reserve(BackendServerId server, AttemptId attempt, Random random, long now) {
        int prompt = 1 + random.nextInt(200_000);
        boolean awaiting = random.nextInt(4) > 0;
        Grant grant = new Grant(
                attempt,
                OwnerFixture.GATEWAY,
                OwnerFixture.FIRST,
                OrganisationId.of("org"),
                OwnerFixture.MODEL,
                server,
                Incarnation.of(incarnations.getOrDefault(server, 0L)),
                new Address("127.0.0.1", 1),
                "standin",
                prompt,
                prompt + 100,
                0,
                0,
                1_000,
                awaiting);
        boolean expected = incarnations.containsKey(server) && !open.containsKey(attempt) && !ended.contains(attempt);
        assertEquals(expected, ledger.reserve(grant, List.of(), 0, now));
        if (expected) {
            open.put(attempt, new Open(grant, awaiting, false));
        }
    }

    private void end(AttemptId attempt, boolean fault, long now) {
        boolean held = open.remove(attempt) != null;
        ended.add(attempt);
        assertEquals(held, ledger.release(attempt, fault, now).isPresent());
    }

    private void firstToken(AttemptId attempt, long now) {
        assertEquals(open.containsKey(attempt), ledger.onFirstToken(attempt, now));
        open.computeIfPresent(attempt, (id, each) -> each.backlog() ? new Open(each.grant(), false, true) : each);
    }

    private void begin(AttemptId attempt, Random random, BackendServerId server, long now) {
        if (random.nextInt(6) == 0) {
            ledger.removeEngine(server);
            incarnations.remove(server);
            drop(server);
            return;
        }
        assertEquals(open.containsKey(attempt), ledger.beginPrefill(attempt, now));
        open.computeIfPresent(
                attempt, (id, each) -> each.read() || each.backlog() ? each : new Open(each.grant(), true, false));
    }

    private void drop(BackendServerId server) {
        for (Open each : new ArrayList<>(open.values())) {
            if (each.grant().server().equals(server)) {
                open.remove(each.grant().attempt());
                ended.add(each.grant().attempt());
            }
        }
    }

    private void recount() {
        assertEquals(open.size(), ledger.openGrants());
        assertEquals(incarnations.size(), ledger.engines().size());
        for (EngineLedger engine : ledger.engines()) {
            List<Open> here = open.values().stream()
                    .filter(each -> each.grant().server().equals(engine.id()))
                    .toList();
            long reserved =
                    here.stream().mapToLong(each -> each.grant().kvTokens()).sum();
            assertEquals(reserved, engine.reservedKvTokens());
            assertEquals(here.size(), engine.openStreams());
            long backlog = 0;
            for (LengthClass each : LengthClass.values()) {
                long ofClass = backlog(here, each);
                backlog += ofClass;
                assertEquals(ofClass, engine.pendingPrefillTokens(each));
                assertEquals(ofClass == 0, engine.prefillBacklogTokens(each) == 0);
                assertEquals(here.stream().filter(one -> one.is(each)).count(), engine.openStreams(each));
            }
            assertEquals(backlog == 0, engine.prefillBacklogTokens() == 0);
            assertEquals(backlog == 0, engine.workAhead(LengthClass.HUGE) == 0);
        }
    }

    private static long backlog(List<Open> here, LengthClass lengthClass) {
        return here.stream()
                .filter(each -> each.backlog() && each.is(lengthClass))
                .mapToLong(each -> each.grant().promptTokens())
                .sum();
    }

    private record Open(Grant grant, boolean backlog, boolean read) {
        boolean is(LengthClass lengthClass) {
            return LengthClass.of(grant.promptTokens()) == lengthClass;
        }
    }
}
