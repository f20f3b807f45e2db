package org.elmline.core.group;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.elmline.core.engine.PromptBlocks;
import org.elmline.core.placement.PrefillCost;
import org.elmline.core.route.GroupSlot;

/**
 * How a prompt is cut over engines. It uses as few engines as can hold it, since each one more adds imports, and asks for
 * them in the order of their owners' ids, as every other group does.
 *
 * @param predictedFirstTokenMillis milliseconds to the first token once reserved: the segments are read one after another
 */
public record GroupPlan(List<Segment> segments, long predictedFirstTokenMillis) {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final int MAX_SEGMENTS = 16;
    private static final int MIN_SEGMENT_TOKENS = PromptBlocks.BLOCK_TOKENS;
    /** Summaries lag, so a plan leaves a tenth of the free memory that they tell. */
    private static final double USABLE_MEMORY_SHARE = 0.9;

    public GroupPlan {
        segments = List.copyOf(segments);
    }

    /**
     * Cuts a prompt, or says with empty that no set of up to {@value #MAX_SEGMENTS} slots holds it now.
     *
     * @param importShare part of a segment's memory that an import of it takes on another engine
     */
    public static Optional<GroupPlan> of(
            int promptTokens, int maxOutputTokens, List<GroupSlot> slots, double importShare, PrefillCost cost) {
        List<GroupSlot> largestFirst = new ArrayList<>(slots);
        largestFirst.sort(
                Comparator.comparingLong(GroupSlot::freeKvTokens).reversed().thenComparing(GroupSlot::owner));
        int most = Math.min(MAX_SEGMENTS, largestFirst.size());
        for (int count = 1; count <= most; count++) {
            List<GroupSlot> used = new ArrayList<>(largestFirst.subList(0, count));
            used.sort(Comparator.comparing(GroupSlot::owner));
            Optional<GroupPlan> plan = allocate(promptTokens, maxOutputTokens, used, importShare, cost);
            if (plan.isPresent()) {
                return plan;
            }
        }
        return Optional.empty();
    }

    /** The text of each segment. */
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
            boolean last = i == used.size() - 1;
            int imports = (int) Math.ceil(context * importShare) + i;
            int extra = imports + (last ? maxOutputTokens : 0);
            long room = (long) (slot.freeKvTokens() * USABLE_MEMORY_SHARE) - extra;
            int tokens = (int) Math.min(room, promptTokens - context);
            if (tokens < Math.min(MIN_SEGMENT_TOKENS, promptTokens)) {
                return Optional.empty();
            }
            tokens = last ? tokens : alignToBlocks(tokens, promptTokens - context);
            segments.add(new Segment(slot.owner(), tokens, context, extra));
            seconds += cost.costTokens(context + tokens, context) / slot.tokensPerSecond();
            context += tokens;
        }
        boolean whole = context == promptTokens;
        return whole ? Optional.of(new GroupPlan(segments, Math.round(seconds * MILLIS_PER_SECOND))) : Optional.empty();
    }

    /** Leaves the segments after it something to read. */
    private static int alignToBlocks(int tokens, int left) {
        int most = Math.min(tokens, left - MIN_SEGMENT_TOKENS);
        return Math.max(MIN_SEGMENT_TOKENS, most / PromptBlocks.BLOCK_TOKENS * PromptBlocks.BLOCK_TOKENS);
    }
}
