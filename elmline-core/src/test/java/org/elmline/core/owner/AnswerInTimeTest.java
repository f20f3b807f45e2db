package org.elmline.core.owner;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.elmline.core.common.AttemptId;
import org.elmline.core.route.GrantReport;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.Release;
import org.elmline.core.route.ReleaseCause;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Requests arrive faster than the engines can read prompts, engines restart, leave and stop announcing themselves,
 * callers disconnect, and entries repeat their calls. Each request must get exactly one answer no later than its
 * deadline plus one tick of the timing wheel, and once all grants are released the engines' memory must be free again.
 */
class AnswerInTimeTest {
    private static final int ENGINES = 3;
    private static final long CAPACITY = 300_000;
    private static final long STEP_MILLIS = 40;
    private static final long TICK_MILLIS = 20;

    private OwnerFixture fixture;
    private final Map<AttemptId, Long> waiting = new HashMap<>();
    private final Set<AttemptId> answered = new HashSet<>();
    private final List<AttemptId> granted = new ArrayList<>();
    private final long[] incarnations = new long[ENGINES];
    private final boolean[] unannounced = new boolean[ENGINES];

    /** All tries share this instance. */
    @BeforeTry
    void reset() {
        fixture = new OwnerFixture(OwnerSettings.builder().queueCapacity(20).build());
        waiting.clear();
        answered.clear();
        granted.clear();
        Arrays.fill(incarnations, 0);
        Arrays.fill(unannounced, false);
    }

    @Property(tries = 60, seed = "5003")
    void everyRequestIsAnsweredOnceByItsDeadline(@ForAll long seed) {
        Random random = new Random(seed);
        for (int step = 0; step < 400; step++) {
            updateEngines(random);
            placeRequests(random);
            endRequests(random);
            fixture.advance(STEP_MILLIS)
                    .forEach(each -> recordAnswer(each.request().attempt(), each.answer()));
            for (Map.Entry<AttemptId, Long> each : waiting.entrySet()) {
                assertTrue(each.getValue() + TICK_MILLIS * OwnerFixture.MILLI > fixture.now, each + " is unanswered");
            }
            assertEquals(waiting.size(), fixture.owner.counts().waiting());
        }
        new ArrayList<>(granted).forEach(each -> fixture.release(each, ReleaseCause.FINISHED));
        waiting.keySet().forEach(each -> fixture.release(each, ReleaseCause.NOT_STARTED));
        for (int i = 0; i < ENGINES; i++) {
            unannounced[i] = false;
        }
        updateEngines(new Random(0));
        fixture.advance(40_000);
        assertEquals(0, fixture.owner.counts().openGrants());
        assertEquals(0, fixture.owner.counts().waiting());
    }

    private void updateEngines(Random random) {
        int one = random.nextInt(ENGINES);
        if (random.nextInt(40) == 0) {
            incarnations[one]++;
        }
        if (random.nextInt(60) == 0) {
            unannounced[one] = !unannounced[one];
        }
        for (int i = 0; i < ENGINES; i++) {
            if (!unannounced[i]) {
                boolean leaving = random.nextInt(50) == 0;
                fixture.owner.announce(
                        OwnerFixture.engine("engine-" + i, incarnations[i], CAPACITY, leaving), fixture.now);
            }
        }
    }

    private void placeRequests(Random random) {
        for (int i = random.nextInt(4); i > 0; i--) {
            int prompt = random.nextInt(30) == 0 ? 100_000 + random.nextInt(250_000) : 500 + random.nextInt(8_000);
            PlaceRequest request =
                    fixture.request("org-" + random.nextInt(5), prompt, random.nextInt(3), 1 + random.nextInt(4_000));
            waiting.put(request.attempt(), fixture.now + request.demand().remainingMillis() * OwnerFixture.MILLI);
            fixture.place(request).ifPresent(answer -> recordAnswer(request.attempt(), answer));
            if (random.nextInt(5) == 0 && waiting.containsKey(request.attempt())) {
                fixture.place(request).ifPresent(answer -> recordAnswer(request.attempt(), answer));
            }
        }
    }

    private void endRequests(Random random) {
        List<AttemptId> some = new ArrayList<>(granted);
        for (AttemptId each : some) {
            if (random.nextInt(12) == 0) {
                fixture.firstToken(each);
            }
            if (random.nextInt(12) == 0) {
                granted.remove(each);
                ReleaseCause[] causes = ReleaseCause.values();
                fixture.release(each, causes[random.nextInt(causes.length)]);
            }
        }
        if (random.nextInt(10) == 0 && !waiting.isEmpty()) {
            AttemptId left = waiting.keySet().iterator().next();
            waiting.remove(left);
            Release release = new Release(left, ReleaseCause.NOT_STARTED);
            fixture.owner.report(
                    new GrantReport(OwnerFixture.GATEWAY, OwnerFixture.FIRST, List.of(), List.of(release)),
                    fixture.now);
        }
    }

    private void recordAnswer(AttemptId attempt, OwnerPlaceAnswer answer) {
        waiting.remove(attempt);
        assertTrue(answered.add(attempt), attempt + " was answered twice");
        if (answer instanceof OwnerPlaceAnswer.Placed) {
            granted.add(attempt);
        }
    }
}
