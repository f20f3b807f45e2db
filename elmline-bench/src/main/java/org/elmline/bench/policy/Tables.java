package org.elmline.bench.policy;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.elmline.bench.workload.Mix;
import org.elmline.core.common.LengthClass;

/** The measurement as Markdown: one table for each fleet, load and fault, and a judgement of the aim at 80 % load. */
final class Tables {
    private static final double AIM_LOAD = 0.8;
    private static final String HEAD =
            """
            | variant | short p50/p95/p99 s | slowdown | medium p50/p95/p99 s | long p50/p95/p99 s | over 128k p50/p95/p99 s \
            | between tokens p95 ms | in limit % | refused % | prefix hits % | Jain |
            |---|---|---|---|---|---|---|---|---|---|---|
            """;

    private final List<Row> rows;

    Tables(List<Row> rows) {
        this.rows = rows;
    }

    String markdown() {
        StringBuilder text = new StringBuilder();
        Row last = null;
        for (Row each : rows) {
            if (last == null || !sameTable(last, each)) {
                text.append(String.format(
                        Locale.ROOT,
                        "%n### %s, %d engines, %.0f %% load, fault: %s%n%n%s",
                        each.mix().name().toLowerCase(Locale.ROOT),
                        each.mix().engines(),
                        each.load() * 100,
                        each.fault().title(),
                        HEAD));
            }
            text.append(line(each));
            last = each;
        }
        return text.append(aim()).toString();
    }

    private static boolean sameTable(Row one, Row other) {
        return one.mix() == other.mix() && one.load() == other.load() && one.fault() == other.fault();
    }

    private static String line(Row row) {
        RunResult result = row.result();
        StringBuilder text = new StringBuilder("| ").append(row.variant().title());
        text.append(" | ").append(seconds(result, LengthClass.SHORT));
        text.append(String.format(Locale.ROOT, " | %.2f", row.shortSlowdown()));
        for (LengthClass each : List.of(LengthClass.MEDIUM, LengthClass.LONG, LengthClass.HUGE)) {
            text.append(" | ").append(seconds(result, each));
        }
        text.append(String.format(
                Locale.ROOT,
                " | %.1f | %.2f | %.2f | %.1f | %.4f |%n",
                result.betweenTokensMillis(95),
                result.shareInLimit() * 100,
                result.shareRefused() * 100,
                result.prefixHits() * 100,
                result.jainIndex()));
        return text.toString();
    }

    private static String seconds(RunResult result, LengthClass lengthClass) {
        return String.format(
                Locale.ROOT,
                "%.3f / %.3f / %.3f",
                result.firstTokenSeconds(lengthClass, 50),
                result.firstTokenSeconds(lengthClass, 95),
                result.firstTokenSeconds(lengthClass, 99));
    }

    /** The aim: short p95 slowed down at most 1.2 times, long p95 at most 1.3 times that of the best blind baseline. */
    private String aim() {
        StringBuilder text = new StringBuilder(String.format("%n### The aim at 80 %% load, without faults%n%n"));
        text.append("| fleet | variant | short p95 slowdown | best blind baseline's | long p95 against best blind |"
                + " over 128k p95 against best blind | in limit % | between tokens p95 ms |\n"
                + "|---|---|---|---|---|---|---|---|\n");
        for (Mix mix : Mix.values()) {
            List<Row> table = table(mix);
            for (Row each : table) {
                if (!each.variant().lengthBlind()) {
                    text.append(String.format(
                            Locale.ROOT,
                            "| %s | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %.1f |%n",
                            mix.name().toLowerCase(Locale.ROOT),
                            each.variant().title(),
                            each.shortSlowdown(),
                            bestBlind(table, LengthClass.SHORT) / each.shortAloneSeconds(),
                            p95(each, LengthClass.LONG) / bestBlind(table, LengthClass.LONG),
                            p95(each, LengthClass.HUGE) / bestBlind(table, LengthClass.HUGE),
                            each.result().shareInLimit() * 100,
                            each.result().betweenTokensMillis(95)));
                }
            }
        }
        return text.toString();
    }

    private List<Row> table(Mix mix) {
        List<Row> table = new ArrayList<>();
        for (Row each : rows) {
            if (each.mix() == mix && each.load() == AIM_LOAD && each.fault() == Fault.NONE) {
                table.add(each);
            }
        }
        return table;
    }

    private static double bestBlind(List<Row> table, LengthClass lengthClass) {
        double best = Double.POSITIVE_INFINITY;
        for (Row each : table) {
            if (each.variant().lengthBlind()) {
                best = Math.min(best, p95(each, lengthClass));
            }
        }
        return best;
    }

    private static double p95(Row row, LengthClass lengthClass) {
        return row.result().firstTokenSeconds(lengthClass, 95);
    }
}
