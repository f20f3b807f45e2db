package org.elmline.standin.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

/**
 * Time and memory of one engine, computed step by step. Each step decodes one token of every running sequence and fills
 * the rest of its token budget with chunks of prefill, most urgent first; its duration follows from the tokens
 * computed. All times are nanoseconds on the caller's clock. Not thread-safe.
 */
public final class EngineModel {
    /** Value of {@link #nextStepEndNanos()} when there is nothing to compute. */
    public static final long IDLE = Long.MAX_VALUE;

    private final EngineProfile profile;
    private final KvMemory memory;
    private final Map<Long, Sequence> sequences = new HashMap<>();
    private final TreeSet<Sequence> waiting;
    private final TreeSet<Sequence> prefilling;
    private final List<Sequence> decoding = new ArrayList<>();
    private final List<Chunk> chunks = new ArrayList<>();
    private final List<Sequence> decodingInStep = new ArrayList<>();
    private final Map<Long, Long> externalKvTokens = new HashMap<>();
    private long stepEndNanos = IDLE;
    private long clockNanos;
    private double slowdown = 1;
    private long preemptions;
    private long cachedPromptTokens;
    private long promptTokens;

    public EngineModel(EngineProfile profile, CacheListener cacheListener) {
        this.profile = profile;
        memory = new KvMemory(profile.capacityKvTokens(), profile.blockTokens(), cacheListener);
        Comparator<Sequence> order = Comparator.<Sequence>comparingLong(s -> s.schedulingKey(profile.ageingNanos()))
                .thenComparingLong(s -> s.request.id());
        waiting = new TreeSet<>(order);
        prefilling = new TreeSet<>(order);
    }

    /** Multiplies the duration of every later step by this factor; 1 is the profile's own speed. */
    public void slowdown(double factor) {
        slowdown = factor;
    }

    /** Accepts a sequence; false when it can never fit into KV memory or its id is in use. */
    public boolean submit(SequenceRequest request, long nowNanos) {
        long maxTokens = (long) request.promptTokens() + request.outputTokens();
        if (maxTokens > profile.capacityKvTokens() || sequences.containsKey(request.id())) {
            return false;
        }
        Sequence sequence = new Sequence(request, nowNanos);
        sequences.put(request.id(), sequence);
        waiting.add(sequence);
        clockNanos = Math.max(clockNanos, nowNanos);
        startStepIfIdle();
        return true;
    }

    /** Frees everything that a sequence holds, in any stage; false when no sequence has this id. */
    public boolean release(long id) {
        Sequence sequence = sequences.remove(id);
        if (sequence == null) {
            return false;
        }
        waiting.remove(sequence);
        prefilling.remove(sequence);
        decoding.remove(sequence);
        freeMemory(sequence);
        sequence.stage = Sequence.Stage.FINISHED;
        startStepIfIdle();
        return true;
    }

    /**
     * Starts a step when none is running and sequences are waiting. Needed after each release: finished sequences may
     * hold all memory, so that no step can run; without this call the waiting sequences would stall until the next
     * submission.
     */
    private void startStepIfIdle() {
        if (stepEndNanos == IDLE && !waiting.isEmpty()) {
            startStep(clockNanos);
        }
    }

    public boolean changePriority(long id, int priority) {
        Sequence sequence = sequences.get(id);
        if (sequence == null) {
            return false;
        }
        boolean wasWaiting = waiting.remove(sequence);
        boolean wasPrefilling = prefilling.remove(sequence);
        sequence.priority = priority;
        if (wasWaiting) {
            waiting.add(sequence);
        }
        if (wasPrefilling) {
            prefilling.add(sequence);
        }
        return true;
    }

    /** Reserves memory for imported KV; false when there is not enough memory or the id is in use. */
    public boolean reserveExternal(long id, long tokens, long nowNanos) {
        if (externalKvTokens.containsKey(id) || !memory.allocate(tokens, nowNanos)) {
            return false;
        }
        externalKvTokens.put(id, tokens);
        return true;
    }

    public boolean releaseExternal(long id) {
        Long tokens = externalKvTokens.remove(id);
        if (tokens == null) {
            return false;
        }
        memory.free(tokens);
        startStepIfIdle();
        return true;
    }

    /** Time at which the step in progress ends; {@link #IDLE} without one. */
    public long nextStepEndNanos() {
        return stepEndNanos;
    }

    /** Completes every step that ends by {@code nowNanos}. */
    public void advance(long nowNanos, StepListener listener) {
        while (stepEndNanos <= nowNanos) {
            long ended = stepEndNanos;
            finishStep(ended, listener);
            clockNanos = ended;
            startStep(ended);
        }
        clockNanos = Math.max(clockNanos, nowNanos);
    }

    public int openSequences() {
        return sequences.size();
    }

    public long usedKvTokens() {
        return memory.usedTokens();
    }

    /** KV tokens that this sequence holds now. */
    public long allocatedKvTokens(long id) {
        Sequence sequence = sequences.get(id);
        return sequence == null ? 0 : sequence.privateTokens + (long) sequence.retainedBlocks * profile.blockTokens();
    }

    public long prefillBacklogTokens() {
        long backlog = 0;
        for (Sequence each : waiting) {
            backlog += each.prefillTargetTokens;
        }
        for (Sequence each : prefilling) {
            backlog += each.remainingPrefillTokens();
        }
        return backlog;
    }

    public long preemptions() {
        return preemptions;
    }

    /** Prompt tokens found in the prefix cache and therefore not computed, out of {@link #promptTokens()}. */
    public long cachedPromptTokens() {
        return cachedPromptTokens;
    }

    public long promptTokens() {
        return promptTokens;
    }

    private record Chunk(Sequence sequence, int tokens) {}

    private void startStep(long nowNanos) {
        chunks.clear();
        decodingInStep.clear();
        growDecodingSequences(nowNanos);
        int budget = Math.max(0, profile.stepTokens() - decodingInStep.size());
        double nanos = decodeNanos();
        budget = fillWithPrefill(budget, nowNanos);
        for (Chunk chunk : chunks) {
            nanos += profile.prefillNanos(chunk.tokens(), chunk.sequence().contextTokens());
        }
        if (chunks.isEmpty() && decodingInStep.isEmpty()) {
            stepEndNanos = IDLE;
            return;
        }
        stepEndNanos = nowNanos + (long) ((profile.stepNanos() + nanos) * slowdown);
    }

    private double decodeNanos() {
        long kvTokens = 0;
        for (Sequence each : decodingInStep) {
            kvTokens += each.contextTokens() + each.generatedTokens;
        }
        return profile.decodeNanos(decodingInStep.size(), kvTokens);
    }

    /** Allocates one token of memory for each running sequence; when memory is full, preempts the least urgent one. */
    private void growDecodingSequences(long nowNanos) {
        List<Sequence> running = new ArrayList<>(decoding);
        for (Sequence each : running) {
            if (each.stage != Sequence.Stage.DECODING) {
                continue;
            }
            while (!memory.allocate(1, nowNanos)) {
                Sequence victim = lowestPriorityRunning();
                preempt(victim);
                if (victim == each) {
                    break;
                }
            }
            if (each.stage == Sequence.Stage.DECODING) {
                each.privateTokens++;
                decodingInStep.add(each);
            }
        }
        decodingInStep.removeIf(each -> each.stage != Sequence.Stage.DECODING);
    }

    private int fillWithPrefill(int stepBudget, long nowNanos) {
        int budget = stepBudget;
        admitWaiting(nowNanos);
        for (Sequence each : prefilling) {
            if (budget == 0) {
                break;
            }
            int tokens = Math.min(budget, each.remainingPrefillTokens());
            chunks.add(new Chunk(each, tokens));
            budget -= tokens;
        }
        return budget;
    }

    private void admitWaiting(long nowNanos) {
        while (!waiting.isEmpty()) {
            Sequence first = waiting.first();
            if (decoding.size() + prefilling.size() >= profile.maxSequences() && !preemptFor(first)) {
                return;
            }
            if (!allocatePromptMemory(first, nowNanos)) {
                if (!preemptFor(first)) {
                    return;
                }
                continue;
            }
            waiting.remove(first);
            first.stage = Sequence.Stage.PREFILLING;
            prefilling.add(first);
        }
    }

    private boolean allocatePromptMemory(Sequence sequence, long nowNanos) {
        long[] blocks = sequence.request.blockHashes();
        int hits = Math.min(memory.leadingHits(blocks), (sequence.request.promptTokens() - 1) / profile.blockTokens());
        for (int i = 0; i < hits; i++) {
            memory.retain(blocks[i]);
        }
        int cached = hits * profile.blockTokens();
        if (!memory.allocate(sequence.prefillTargetTokens - cached, nowNanos)) {
            for (int i = hits - 1; i >= 0; i--) {
                memory.release(blocks[i]);
            }
            return false;
        }
        sequence.retainedBlocks = hits;
        sequence.prefilledTokens = cached;
        sequence.privateTokens = sequence.prefillTargetTokens - cached;
        if (sequence.generatedTokens == 0) {
            cachedPromptTokens += cached;
            promptTokens += sequence.request.promptTokens();
        }
        return true;
    }

    /** Makes room for a waiting sequence by preempting one of lower base priority; false when there is none. */
    private boolean preemptFor(Sequence urgent) {
        Sequence victim = lowestPriorityRunning();
        if (victim == null || victim.priority <= urgent.priority) {
            return false;
        }
        if (victim.schedulingKey(profile.ageingNanos()) <= urgent.schedulingKey(profile.ageingNanos())) {
            return false;
        }
        preempt(victim);
        return true;
    }

    private Sequence lowestPriorityRunning() {
        Sequence leastUrgent = prefilling.isEmpty() ? null : prefilling.last();
        for (Sequence each : decoding) {
            if (leastUrgent == null
                    || each.schedulingKey(profile.ageingNanos()) > leastUrgent.schedulingKey(profile.ageingNanos())) {
                leastUrgent = each;
            }
        }
        return leastUrgent;
    }

    /** Frees the victim's memory; its prompt and its answer so far are computed again later. */
    private void preempt(Sequence victim) {
        preemptions++;
        prefilling.remove(victim);
        decoding.remove(victim);
        freeMemory(victim);
        victim.prefillTargetTokens = victim.request.promptTokens() + victim.generatedTokens;
        victim.prefilledTokens = 0;
        victim.stage = Sequence.Stage.WAITING;
        waiting.add(victim);
    }

    private void finishStep(long nowNanos, StepListener listener) {
        List<Sequence> finished = new ArrayList<>();
        for (Sequence each : decodingInStep) {
            if (each.stage == Sequence.Stage.DECODING) {
                generate(each, nowNanos, listener, finished);
            }
        }
        for (Chunk chunk : chunks) {
            Sequence each = chunk.sequence();
            if (each.stage != Sequence.Stage.PREFILLING) {
                continue;
            }
            each.prefilledTokens += chunk.tokens();
            shareCompleteBlocks(each, nowNanos);
            if (each.remainingPrefillTokens() == 0) {
                completePrefill(each);
                generate(each, nowNanos, listener, finished);
            }
        }
        for (Sequence each : finished) {
            decoding.remove(each);
            each.stage = Sequence.Stage.FINISHED;
            listener.onFinished(each.request.id(), nowNanos);
        }
    }

    private void completePrefill(Sequence sequence) {
        prefilling.remove(sequence);
        sequence.stage = Sequence.Stage.DECODING;
        decoding.add(sequence);
    }

    /**
     * Shares each block once it is complete, so that a preempted prompt finds most of its blocks in the prefix cache.
     */
    private void shareCompleteBlocks(Sequence sequence, long nowNanos) {
        long[] blocks = sequence.request.blockHashes();
        int computed = Math.min(sequence.prefilledTokens, sequence.request.promptTokens());
        int whole = Math.min(blocks.length, computed / profile.blockTokens());
        for (int i = sequence.retainedBlocks; i < whole; i++) {
            memory.share(blocks[i], nowNanos);
            sequence.privateTokens -= profile.blockTokens();
        }
        sequence.retainedBlocks = Math.max(sequence.retainedBlocks, whole);
    }

    private void generate(Sequence sequence, long nowNanos, StepListener listener, List<Sequence> finished) {
        if (sequence.generatedTokens < sequence.request.outputTokens()) {
            int index = sequence.generatedTokens++;
            listener.onToken(sequence.request.id(), index, nowNanos);
        }
        if (sequence.generatedTokens >= sequence.request.outputTokens()) {
            finished.add(sequence);
        }
    }

    private void freeMemory(Sequence sequence) {
        long[] blocks = sequence.request.blockHashes();
        // Deepest block first, so that eviction shortens a cached prefix from its end.
        for (int i = sequence.retainedBlocks - 1; i >= 0; i--) {
            memory.release(blocks[i]);
        }
        memory.free(sequence.privateTokens);
        sequence.retainedBlocks = 0;
        sequence.privateTokens = 0;
    }
}
