package org.elmline.cli.explain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Counts the outcomes of requests by their time of arrival, as far as the entries' logs show them: how many were
 * answered, for what reason others were not, and how long the longest wait for a placement and the longest pause of a
 * stream were.
 */
final class LossTable {
    /** Outcome of a request whose entry logged no end: it was lost with the entry, or is still running. */
    private static final String NO_END_LOGGED = "no end";

    private static final int FIRST_SERVER_ERROR_STATUS = 500;

    private final long windowMillis;
    private final Map<String, RequestOutcome> outcomes = new HashMap<>();

    private static final class RequestOutcome {
        private long arrivedAtMillis = Long.MAX_VALUE;
        private long placementWaitMillis;
        private long longestPauseMillis;
        private String lossReason = NO_END_LOGGED;
        private String attemptFailure;
    }

    private static final class Row {
        private int arrived;
        private int answered;
        private int answeredAfterFailure;
        private long longestWaitMillis;
        private long longestPauseMillis;
        private final Map<String, Integer> losses = new TreeMap<>();
    }

    LossTable(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    void add(JsonNode line) {
        if (!line.path("request").isTextual()) {
            return;
        }
        RequestOutcome outcome = outcomes.computeIfAbsent(line.path("request").asText(), each -> new RequestOutcome());
        long age = line.path("ageMs").asLong(0);
        outcome.arrivedAtMillis =
                Math.min(outcome.arrivedAtMillis, line.path("at").asLong() - age);
        switch (line.path("event").asText()) {
            case "placed" -> outcome.placementWaitMillis = Math.max(outcome.placementWaitMillis, age);
            case "server silent" -> outcome.attemptFailure = "silent";
            case "attempt failed" -> outcome.attemptFailure = line.path("why").asText();
            case "streamed" -> {
                outcome.lossReason = "";
                outcome.longestPauseMillis = line.path("longestPauseMs").asLong();
            }
            case "answered" -> outcome.lossReason =
                    line.path("status").asInt() < FIRST_SERVER_ERROR_STATUS ? "" : "a server's own failure";
            case "refused", "turned away", "stream broken off" -> outcome.lossReason =
                    line.path("event").asText() + ": " + line.path("why").asText();
            case "caller left" -> outcome.lossReason = "caller left";
            default -> {
                // Other events don't change the outcome.
            }
        }
    }

    /** The table, one line a window; empty when no line names a request. */
    List<String> format() {
        TreeMap<Long, Row> rows = new TreeMap<>();
        outcomes.values()
                .forEach(each ->
                        addToRow(each, rows.computeIfAbsent(each.arrivedAtMillis / windowMillis, at -> new Row())));
        if (rows.isEmpty()) {
            return List.of();
        }
        long start = rows.firstKey();
        List<String> table = new ArrayList<>();
        table.add("second   came answered after-failure longest-wait-ms longest-pause-ms losses");
        rows.forEach((at, row) -> table.add(String.format(
                Locale.ROOT,
                "%6.1f %6d %8d %13d %15d %16d %s",
                (at - start) * windowMillis / 1_000.0,
                row.arrived,
                row.answered,
                row.answeredAfterFailure,
                row.longestWaitMillis,
                row.longestPauseMillis,
                formatLosses(row))));
        return table;
    }

    private static void addToRow(RequestOutcome outcome, Row row) {
        row.arrived++;
        row.longestWaitMillis = Math.max(row.longestWaitMillis, outcome.placementWaitMillis);
        row.longestPauseMillis = Math.max(row.longestPauseMillis, outcome.longestPauseMillis);
        if (!outcome.lossReason.isEmpty()) {
            row.losses.merge(outcome.lossReason, 1, Integer::sum);
            return;
        }
        row.answered++;
        row.answeredAfterFailure += outcome.attemptFailure == null ? 0 : 1;
    }

    private static String formatLosses(Row row) {
        StringBuilder text = new StringBuilder();
        row.losses.forEach((why, count) -> text.append(text.length() == 0 ? "" : "; ")
                .append(count)
                .append(' ')
                .append(why));
        return text.toString();
    }
}
