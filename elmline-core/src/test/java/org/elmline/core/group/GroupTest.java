package org.elmline.core.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.KvExport;
import org.elmline.core.owner.OwnerFixture;
import org.elmline.core.placement.PrefillCost;
import org.elmline.core.route.Grant;
import org.elmline.core.route.GroupSlot;
import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.ReleaseCause;
import org.elmline.core.stream.Cancel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class GroupTest {
    private static final double IMPORT_SHARE = 1.0 / 16;
    private static final int OWNERS = 4;
    private static final long CAPACITY = 120_000;

    /** For any free memory, a plan covers the whole prompt, fits into each engine and is ordered by owner. */
    @Property(tries = 1_000, seed = "5008")
    void plansCoverWholePromptAndFitEngines(@ForAll long seed) {
        Random random = new Random(seed);
        List<GroupSlot> slots = new ArrayList<>();
        long free = 0;
        for (int i = random.nextInt(10); i >= 0; i--) {
            long tokens = random.nextInt(200_000);
            slots.add(new GroupSlot(HostId.of("owner-" + random.nextInt(OWNERS)), tokens, 10_000));
            free += tokens;
        }
        int prompt = 1 + random.nextInt(1_000_000);
        Optional<GroupPlan> plan = GroupPlan.of(prompt, 1_000, slots, IMPORT_SHARE, PrefillCost.DEFAULT);
        assertTrue(
                plan.isPresent() || free < 2L * prompt + 20_000 || slots.size() < 2,
                "no plan despite enough free memory, prompt tokens: " + prompt);
        plan.ifPresent(each -> check(each, prompt, slots));
    }

    private static void check(GroupPlan plan, int prompt, List<GroupSlot> slots) {
        int context = 0;
        HostId last = HostId.of("0");
        List<Long> free = new ArrayList<>(
                slots.stream().map(GroupSlot::freeKvTokens).sorted().toList());
        for (Segment each : plan.segments()) {
            assertEquals(context, each.contextTokens());
            assertTrue(each.promptTokens() > 0 && each.owner().compareTo(last) >= 0);
            assertTrue(each.extraKvTokens() >= context * IMPORT_SHARE);
            long need = (long) each.promptTokens() + each.extraKvTokens();
            assertTrue(free.removeIf(new FirstAtLeast(need)), "no engine has the free tokens needed: " + need);
            context += each.promptTokens();
            last = each.owner();
        }
        assertEquals(prompt, context);
        assertEquals("x".repeat(4 * prompt), String.join("", plan.split("x".repeat(4 * prompt))));
    }

    /** Matches only the first element of at least the given value. */
    private static final class FirstAtLeast implements java.util.function.Predicate<Long> {
        private final long need;
        private boolean found;

        FirstAtLeast(long need) {
            this.need = need;
        }

        @Override
        public boolean test(Long value) {
            boolean first = !found && value >= need;
            found |= first;
            return first;
        }
    }

    /**
     * Guards against deadlock: two groups that held engines while they waited for others could wait for each other
     * forever. Several prompts, each larger than any engine, reserve engines of several owners concurrently, with calls
     * interleaved at random and some answers lost. Each must end after a bounded number of calls, as complete or
     * refused. After the refused ones have released, only the memory of the complete ones may be reserved.
     */
    @Property(tries = 200, seed = "5009")
    void concurrentReservationsNeverDeadlock(@ForAll long seed) {
        Random random = new Random(seed);
        Map<HostId, OwnerFixture> owners = new HashMap<>();
        List<GroupSlot> slots = new ArrayList<>();
        for (int i = 0; i < OWNERS; i++) {
            HostId id = HostId.of("owner-" + i);
            owners.put(id, new OwnerFixture().engines(1, CAPACITY));
            slots.add(new GroupSlot(id, CAPACITY, 10_000));
        }
        List<GroupReservation> groups = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            int prompt = 150_000 + random.nextInt(150_000);
            PlaceRequest whole = new OwnerFixture().request("org", prompt, 0, 600_000);
            PlaceRequest request = new PlaceRequest(
                    AttemptId.of("group-" + i),
                    whole.host(),
                    whole.incarnation(),
                    whole.organisation(),
                    whole.demand());
            GroupPlan.of(prompt, 100, slots, IMPORT_SHARE, PrefillCost.DEFAULT)
                    .ifPresent(plan -> groups.add(new GroupReservation(request, plan)));
        }
        for (int call = 0; call < 16; call++) {
            List<GroupReservation> open =
                    groups.stream().filter(each -> each.nextCall().isPresent()).toList();
            if (!open.isEmpty()) {
                call(open.get(random.nextInt(open.size())), owners, random.nextInt(10) == 0);
            }
        }
        long reservedTokens = 0;
        for (GroupReservation each : groups) {
            assertTrue(each.isComplete() ^ each.refused(), "neither complete nor refused");
            each.releases().forEach(one -> owners.get(one.owner()).release(one.attempt(), ReleaseCause.NOT_STARTED));
            reservedTokens += each.isComplete()
                    ? each.grants().stream().mapToLong(Grant::kvTokens).sum()
                    : 0;
        }
        long free = owners.values().stream().mapToLong(OwnerFixture::freeTokens).sum();
        assertEquals(OWNERS * CAPACITY - reservedTokens, free);
    }

    private static void call(GroupReservation group, Map<HostId, OwnerFixture> owners, boolean answerLost) {
        GroupReservation.OwnerCall ownerCall = group.nextCall().orElseThrow();
        Optional<OwnerPlaceAnswer> answer = owners.get(ownerCall.owner()).place(ownerCall.request());
        assertTrue(answer.isPresent(), "a segment request was queued at its owner");
        if (answerLost) {
            group.onNoAnswer();
        } else {
            group.onAnswer(answer.get());
        }
    }

    /**
     * Guards against memory leaks on engines. A run over three engines ends at any step: complete, at a failed call, or
     * because the caller disconnected; some calls reach the engine although their answer is lost. The cancels must
     * cover everything that an engine may hold, and each grant must be released once, after its engine acknowledged
     * them all.
     */
    @Property(tries = 300, seed = "5010")
    void everyEndOfARunFreesAllEngines(@ForAll long seed) {
        Random random = new Random(seed);
        int prompt = 300_000;
        OwnerFixture fixture = new OwnerFixture().engines(3, CAPACITY);
        List<GroupSlot> slots = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            slots.add(new GroupSlot(HostId.of("owner"), CAPACITY, 10_000));
        }
        GroupPlan plan = GroupPlan.of(prompt, 100, slots, IMPORT_SHARE, PrefillCost.DEFAULT)
                .orElseThrow();
        PlaceRequest whole = fixture.request("org", prompt, 0, 600_000);
        GroupReservation reservation = new GroupReservation(whole, plan);
        while (reservation.nextCall().isPresent()) {
            reservation.onAnswer(
                    fixture.place(reservation.nextCall().get().request()).orElseThrow());
        }
        assertTrue(reservation.isComplete());
        GroupRun run = new GroupRun(whole, plan, reservation.grants(), "x".repeat(4 * prompt));
        Map<BackendServerId, Set<String>> held = new HashMap<>();
        int prefilledTokens = 0;
        Optional<GroupStep> step = run.nextStep(List.of());
        while (step.isPresent() && random.nextInt(8) > 0) {
            boolean answered = random.nextInt(8) > 0;
            prefilledTokens += perform(run, step.get(), held, answered);
            if (!answered || step.get() instanceof GroupStep.StreamAnswer) {
                run.end();
            }
            step = run.nextStep(List.of());
        }
        assertTrue(prefilledTokens <= prompt);
        free(run, held, fixture, random);
        assertTrue(run.isDone());
        assertEquals(3 * CAPACITY, fixture.freeTokens());
    }

    /** Performs a step and returns the number of tokens that it prefills. */
    private static int perform(GroupRun run, GroupStep step, Map<BackendServerId, Set<String>> held, boolean answered) {
        Set<String> heldByTarget = held.computeIfAbsent(step.target().server(), id -> new HashSet<>());
        if (step instanceof GroupStep.ImportKv importKv) {
            assertTrue(
                    held.get(importKv.source().server())
                            .contains(importKv.export().id()),
                    "export freed before a later engine imported it");
            heldByTarget.add(importKv.export().id());
            if (answered) {
                run.imported();
            }
            return 0;
        }
        EngineRequest request = step instanceof GroupStep.ExportKv export
                ? export.request()
                : ((GroupStep.StreamAnswer) step).request();
        assertTrue(
                heldByTarget.containsAll(request.kvImports()), "prefill without an import of each preceding segment");
        assertEquals(run.currentSegment(), request.kvImports().size());
        heldByTarget.add(request.attempt().value());
        if (answered && step instanceof GroupStep.ExportKv) {
            String id = request.attempt().value();
            run.exported(new KvExport(id, request.attempt(), request.host(), request.incarnation(), 1));
        }
        return request.prompt().length() / 4;
    }

    private static void free(
            GroupRun run, Map<BackendServerId, Set<String>> held, OwnerFixture fixture, Random random) {
        Set<AttemptId> released = new HashSet<>();
        while (!run.end().isEmpty()) {
            List<Cancel> open = run.end();
            Cancel one = open.get(random.nextInt(open.size()));
            Set<String> heldByTarget = held.getOrDefault(one.server(), new HashSet<>());
            heldByTarget.remove(
                    one.targetsExport() ? one.exportId() : one.attempt().value());
            boolean lost = random.nextInt(10) == 0;
            if (lost) {
                heldByTarget.clear();
            }
            Optional<Grant> grant = lost ? run.engineLost(one.server()) : run.freed(one);
            assertEquals(Optional.empty(), run.freed(one), "acknowledged twice");
            grant.ifPresent(each -> {
                assertTrue(released.add(each.attempt()));
                assertEquals(0, fixture.release(each.attempt(), ReleaseCause.CANCELLED));
            });
        }
        assertEquals(3, released.size());
        assertTrue(held.values().stream().allMatch(Set::isEmpty), "not freed on an engine: " + held);
        assertFalse(run.nextStep(List.of()).isPresent());
    }
}
