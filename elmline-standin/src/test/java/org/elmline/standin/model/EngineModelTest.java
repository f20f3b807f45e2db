package org.elmline.standin.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class EngineModelTest {
    private static final long SECOND = 1_000_000_000L;

    /** Records the time of each sequence's first token, and checks that tokens arrive in order. */
    private static final class StepRecorder implements StepListener {
        final Map<Long, Long> firstTokenNanos = new HashMap<>();
        final Map<Long, Integer> tokenCounts = new HashMap<>();
        final List<Long> finishedIds = new ArrayList<>();

        @Override
        public void onToken(long id, int index, long atNanos) {
            assertEquals(tokenCounts.getOrDefault(id, 0), index);
            tokenCounts.put(id, index + 1);
            firstTokenNanos.putIfAbsent(id, atNanos);
        }

        @Override
        public void onFinished(long id, long atNanos) {
            assertFalse(finishedIds.contains(id));
            finishedIds.add(id);
        }
    }

    private static EngineModel engine(long capacity) {
        return new EngineModel(
                EngineProfile.builder().capacityKvTokens(capacity).build(), (b, s, t) -> {});
    }

    private static SequenceRequest request(long id, int prompt, int output, int priority) {
        return new SequenceRequest(id, prompt, 0, output, priority, blocks(id, prompt / 512));
    }

    private static long[] blocks(long seed, int count) {
        long[] blocks = new long[count];
        Random random = new Random(seed);
        for (int i = 0; i < count; i++) {
            blocks[i] = random.nextLong();
        }
        return blocks;
    }

    @Property(tries = 200, seed = "4711")
    void memoryStaysInBoundsAndEverySequenceCompletes(@ForAll @IntRange(max = 1_000_000) int seed) {
        Random random = new Random(seed);
        EngineModel engine = engine(20_000);
        StepRecorder recorder = new StepRecorder();
        Map<Long, Integer> expected = new HashMap<>();
        long now = 0;
        for (long id = 0; id < 40; id++) {
            SequenceRequest request = new SequenceRequest(
                    id, 1 + random.nextInt(9_000), 0, 1 + random.nextInt(400), random.nextInt(4), sharedBlocks(random));
            assertTrue(engine.submit(request, now));
            expected.put(id, request.outputTokens());
            if (random.nextInt(6) == 0) {
                long cancelled = random.nextInt((int) id + 1);
                if (!recorder.finishedIds.contains(cancelled)) {
                    expected.remove(cancelled);
                }
                engine.release(cancelled);
            }
            engine.changePriority(random.nextInt((int) id + 1), random.nextInt(4));
            now += random.nextInt(300_000_000);
            engine.advance(now, recorder);
            assertTrue(engine.usedKvTokens() <= 20_000);
            recorder.finishedIds.forEach(engine::release);
        }
        for (int i = 0; i < 10_000 && engine.openSequences() > 0; i++) {
            now += SECOND;
            engine.advance(now, recorder);
            recorder.finishedIds.forEach(engine::release);
        }
        assertEquals(0, engine.openSequences());
        assertEquals(0, engine.usedKvTokens());
        assertEquals(EngineModel.IDLE, engine.nextStepEndNanos());
        expected.forEach((id, tokens) -> assertEquals(tokens, recorder.tokenCounts.get(id)));
    }

    /** Block hashes of prompts from three families that share a prefix within the family. */
    private static long[] sharedBlocks(Random random) {
        long[] family = blocks(random.nextInt(3), 18);
        long[] own = blocks(random.nextLong(), 18);
        int shared = random.nextInt(18);
        System.arraycopy(family, 0, own, 0, shared);
        return own;
    }

    /**
     * A short prompt arrives behind a long one: at equal priority it waits for the whole prefill, with higher priority
     * it doesn't.
     */
    @Test
    void shortPromptOvertakesLongPromptOfLowerPriority() {
        long behind = shortPromptFirstTokenNanos(0);
        long ahead = shortPromptFirstTokenNanos(3);
        assertTrue(behind > 20 * ahead, behind + " against " + ahead);
    }

    private static long shortPromptFirstTokenNanos(int longPriority) {
        EngineModel engine = engine(450_000);
        StepRecorder recorder = new StepRecorder();
        engine.submit(request(1, 300_000, 10, longPriority), 0);
        engine.advance(SECOND, recorder);
        engine.submit(request(2, 1_000, 10, 0), SECOND);
        engine.advance(100 * SECOND, recorder);
        return recorder.firstTokenNanos.get(2L) - SECOND;
    }

    /**
     * Urgent prompts arrive continuously and exceed the engine's capacity: ageing must still let the long prompt
     * finish.
     */
    @Test
    void ageingFinishesLongPromptUnderContinuousUrgentLoad() {
        EngineProfile profile = EngineProfile.builder().ageingNanos(10 * SECOND).build();
        EngineModel engine = new EngineModel(profile, (b, s, t) -> {});
        StepRecorder recorder = new StepRecorder();
        engine.submit(request(1, 100_000, 10, 3), 0);
        long now = 0;
        for (long id = 2; id < 12_000 && !recorder.finishedIds.contains(1L); id++) {
            now += 20_000_000;
            engine.submit(request(id, 1_000, 1, 0), now);
            engine.advance(now, recorder);
            recorder.finishedIds.forEach(engine::release);
        }
        assertTrue(recorder.finishedIds.contains(1L));
    }

    @Test
    void slowdownByTenTakesTenTimesAsLong() {
        EngineModel engine = engine(450_000);
        EngineModel slow = engine(450_000);
        slow.slowdown(10);
        StepRecorder recorder = new StepRecorder();
        StepRecorder slowRecorder = new StepRecorder();
        engine.submit(request(1, 8_000, 5, 0), 0);
        slow.submit(request(1, 8_000, 5, 0), 0);
        engine.advance(100 * SECOND, recorder);
        slow.advance(100 * SECOND, slowRecorder);
        assertEquals(10.0, (double) slowRecorder.firstTokenNanos.get(1L) / recorder.firstTokenNanos.get(1L), 0.01);
    }

    @Test
    void cachedPrefixIsNotPrefilledAgain() {
        EngineModel engine = engine(450_000);
        StepRecorder recorder = new StepRecorder();
        long[] blocks = blocks(9, 62);
        engine.submit(new SequenceRequest(1, 32_000, 0, 1, 0, blocks), 0);
        engine.advance(10 * SECOND, recorder);
        engine.release(1);
        engine.submit(new SequenceRequest(2, 32_000, 0, 1, 0, blocks), 10 * SECOND);
        engine.advance(20 * SECOND, recorder);
        long first = recorder.firstTokenNanos.get(1L);
        long second = recorder.firstTokenNanos.get(2L) - 10 * SECOND;
        assertTrue(first > 20 * second, first + " against " + second);
        assertEquals(62 * 512, engine.cachedPromptTokens());
    }

    /** Prefill time grows faster than the prompt length, since attention grows with the context. */
    @Test
    void prefillGrowsFasterThanLength() {
        EngineProfile profile = EngineProfile.builder().build();
        assertTrue(profile.wholePrefillNanos(400_000, 0) > 15 * profile.wholePrefillNanos(40_000, 0));
    }

    @Test
    void rejectsWhatExceedsMemoryAndDuplicateIds() {
        EngineModel engine = engine(10_000);
        assertFalse(engine.submit(request(1, 9_999, 2, 0), 0));
        assertTrue(engine.submit(request(2, 9_998, 2, 0), 0));
        assertFalse(engine.submit(request(2, 10, 2, 0), 0), "id in use");
        assertTrue(engine.release(2));
        assertTrue(engine.reserveExternal(3, 10_000, 0));
        assertFalse(engine.reserveExternal(4, 1, 0));
        assertTrue(engine.releaseExternal(3));
        assertEquals(0, engine.usedKvTokens());
    }
}
