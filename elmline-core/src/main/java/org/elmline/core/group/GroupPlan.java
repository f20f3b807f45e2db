package org.elmline.core.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.elmline.core.engine.PromptBlocks;
import org.elmline.core.placement.PrefillCost;
import org.elmline.core.route.GroupSlot;

/**
 * How a prompt is split over engines. A plan uses the fewest engines that can hold the prompt, since each additional
 * one adds imports, and lists them in the order of their owners' ids, in which every group reserves. Immutable.
 *
 * @param predictedFirstTokenMillis milliseconds from reservation to the first token; segments are prefilled in sequence
 */
public record GroupPlan(List<Segment> segments, long predictedFirstTokenMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MAX_SEGMENTS = 16;
    private static final int MIN_SEGMENT_TOKENS = PromptBlocks.BLOCK_TOKENS;
    /** A plan leaves a tenth of the free memory unused, since the summaries that report it lag. */
    private static final double USABLE_MEMORY_SHARE = 0.9;

    public GroupPlan {
        segments = List.copyOf(segments);
    }

    /**
     * Plans a prompt over the given slots; empty if no set of up to {@value #MAX_SEGMENTS} of them can hold it now.
     *
     * @param promptTokens length of the prompt in tokens
     * @param maxOutputTokens longest answer in tokens, held by the last engine
     * @param importShare share of a segment's KV memory that its import takes on another engine
     */
    public static Optional<GroupPlan> of(
            int promptTokens, int maxOutputTokens, List<GroupSlot> slots, double importShare, PrefillCost cost) {
        List<GroupSlot> largestFirst = new ArrayList<>(slots);
        largestFirst.sort(
                Comparator.comparingLong(GroupSlot::freeKvTokens).reversed().thenComparing(GroupSlot::owner));
        int maxCount = Math.min(MAX_SEGMENTS, largestFirst.size());
        for (int count = 1; count <= maxCount; count++) {
            List<GroupSlot> used = new ArrayList<>(largestFirst.subList(0, count));
            used.sort(Comparator.comparing(GroupSlot::owner));
            Optional<GroupPlan> plan = allocate(promptTokens, maxOutputTokens, used, importShare, cost);
            if (plan.isPresent()) {
                return plan;
            }
        }
        return Optional.empty();
    }

    /** Splits the prompt text into the texts of the segments. */
    public List<String> split(String prompt) {
        List<String> texts = new ArrayList<>();
        int from = 0;
        for (int i = 0; i < segments.size(); i++) {
            int length = segments.get(i).promptTokens() * PromptBlocks.CHARACTERS_PER_TOKEN;
            int to = i == segments.size() - 1 ? prompt.length() : Math.min(prompt.length(), from + length);
            texts.add(prompt.substring(from, to));
            from = to;
        }
        return texts;
    }

    private static Optional<GroupPlan> allocate(
            int promptTokens, int maxOutputTokens, List<GroupSlot> used, double importShare, PrefillCost cost) {
        List<Segment> segments = new ArrayList<>();
        int context = 0;
        double seconds = 0;
        for (int i = 0; i < used.size(); i++) {
            GroupSlot slot = used.get(i);
            boolean isLast = i == used.size() - 1;
            int importTokens = (int) Math.ceil(context * importShare) + i;
            int extraTokens = importTokens + (isLast ? maxOutputTokens : 0);
            long availableTokens = (long) (slot.freeKvTokens() * USABLE_MEMORY_SHARE) - extraTokens;
            int tokens = (int) Math.min(availableTokens, promptTokens - context);
            if (tokens < Math.min(MIN_SEGMENT_TOKENS, promptTokens)) {
                return Optional.empty();
            }
            tokens = isLast ? tokens : alignToBlocks(tokens, promptTokens - context);
            segments.add(new Segment(slot.owner(), tokens, context, extraTokens));
            seconds += cost.costTokens(context + tokens, context) / slot.tokensPerSecond();
            context += tokens;
        }
        boolean isComplete = context == promptTokens;
        return isComplete
                ? Optional.of(new GroupPlan(segments, Math.round(seconds * MILLIS_PER_SECOND)))
                : Optional.empty();
    }

    /** Rounds down to whole blocks, leaving the minimum to the following segments, but never below one block. */
    private static int alignToBlocks(int tokens, int remainingTokens) {
        int maxTokens = Math.min(tokens, remainingTokens - MIN_SEGMENT_TOKENS);
        return Math.max(MIN_SEGMENT_TOKENS, maxTokens / PromptBlocks.BLOCK_TOKENS * PromptBlocks.BLOCK_TOKENS);
    }
}
