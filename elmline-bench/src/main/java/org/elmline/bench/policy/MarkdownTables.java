package org.elmline.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.elmline.bench.workload.PromptMix;
import org.elmline.core.common.LengthClass;

/**
 * Renders a measurement as Markdown: one table for each fleet, load and fault, and a comparison with the target at 80 %
 * load.
 */
final class MarkdownTables {
    private static final double TARGET_LOAD = 0.8;
    private static final String TABLE_HEADER =
            """
            | variant | short p50/p95/p99 s | slowdown | medium p50/p95/p99 s | long p50/p95/p99 s | over 128k p50/p95/p99 s \
            | between tokens p95 ms | in limit % | refused % | prefix hits % | Jain |
            |---|---|---|---|---|---|---|---|---|---|---|
            """;

    private final List<ResultRow> rows;

    MarkdownTables(List<ResultRow> rows) {
        this.rows = rows;
    }

    String markdown() {
        StringBuilder text = new StringBuilder();
        ResultRow last = null;
        for (ResultRow each : rows) {
            if (last == null || !sameTable(last, each)) {
                text.append(String.format(
                        Locale.ROOT,
                        "%n### %s, %d engines, %.0f %% load, fault: %s%n%n%s",
                        each.mix().name().toLowerCase(Locale.ROOT),
                        each.mix().engines(),
                        each.load() * 100,
                        each.fault().title(),
                        TABLE_HEADER));
            }
            text.append(line(each));
            last = each;
        }
        return text.append(targetTable()).toString();
    }

    private static boolean sameTable(ResultRow one, ResultRow other) {
        return one.mix() == other.mix() && one.load() == other.load() && one.fault() == other.fault();
    }

    private static String line(ResultRow row) {
        RunResult result = row.result();
        StringBuilder text = new StringBuilder("| ").append(row.variant().title());
        text.append(" | ").append(firstTokenPercentiles(result, LengthClass.SHORT));
        text.append(String.format(Locale.ROOT, " | %.2f", row.shortSlowdown()));
        for (LengthClass each : List.of(LengthClass.MEDIUM, LengthClass.LONG, LengthClass.HUGE)) {
            text.append(" | ").append(firstTokenPercentiles(result, each));
        }
        text.append(String.format(
                Locale.ROOT,
                " | %.1f | %.2f | %.2f | %.1f | %.4f |%n",
                result.interTokenMillis(95),
                result.inLimitFraction() * 100,
                result.refusedFraction() * 100,
                result.prefixHits() * 100,
                result.jainIndex()));
        return text.toString();
    }

    private static String firstTokenPercentiles(RunResult result, LengthClass lengthClass) {
        return String.format(
                Locale.ROOT,
                "%.3f / %.3f / %.3f",
                result.firstTokenSeconds(lengthClass, 50),
                result.firstTokenSeconds(lengthClass, 95),
                result.firstTokenSeconds(lengthClass, 99));
    }

    /**
     * Target: short p95 slowed down by a factor of at most 1.2, long p95 at most 1.3 times that of the best
     * length-blind baseline.
     */
    private String targetTable() {
        StringBuilder text = new StringBuilder(String.format("%n### The aim at 80 %% load, without faults%n%n"));
        text.append("| fleet | variant | short p95 slowdown | best blind baseline's | long p95 against best blind |"
                + " over 128k p95 against best blind | in limit % | between tokens p95 ms |\n"
                + "|---|---|---|---|---|---|---|---|\n");
        for (PromptMix mix : PromptMix.values()) {
            List<ResultRow> table = targetRows(mix);
            for (ResultRow each : table) {
                if (!each.variant().isLengthBlind()) {
                    text.append(String.format(
                            Locale.ROOT,
                            "| %s | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f |%n",
                            mix.name().toLowerCase(Locale.ROOT),
                            each.variant().title(),
                            each.shortSlowdown(),
                            bestLengthBlindP95(table, LengthClass.SHORT) / each.isolatedShortSeconds(),
                            firstTokenP95(each, LengthClass.LONG) / bestLengthBlindP95(table, LengthClass.LONG),
                            firstTokenP95(each, LengthClass.HUGE) / bestLengthBlindP95(table, LengthClass.HUGE),
                            each.result().inLimitFraction() * 100,
                            each.result().interTokenMillis(95)));
                }
            }
        }
        return text.toString();
    }

    private List<ResultRow> targetRows(PromptMix mix) {
        List<ResultRow> table = new ArrayList<>();
        for (ResultRow each : rows) {
            if (each.mix() == mix && each.load() == TARGET_LOAD && each.fault() == Fault.NONE) {
                table.add(each);
            }
        }
        return table;
    }

    private static double bestLengthBlindP95(List<ResultRow> table, LengthClass lengthClass) {
        double best = Double.POSITIVE_INFINITY;
        for (ResultRow each : table) {
            if (each.variant().isLengthBlind()) {
                best = Math.min(best, firstTokenP95(each, lengthClass));
            }
        }
        return best;
    }

    private static double firstTokenP95(ResultRow row, LengthClass lengthClass) {
        return row.result().firstTokenSeconds(lengthClass, 95);
    }
}
