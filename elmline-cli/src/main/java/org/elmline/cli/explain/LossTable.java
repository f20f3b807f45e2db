package org.elmline.cli.explain;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Counts by the time at which requests came what became of them, as far as the entries' logs tell: which were answered, for
 * what reason others were not, and how long the longest wait for a place and the longest pause were.
 */
final class LossTable {
    /** A request whose entry wrote no last line: it was lost with the entry, or still runs. */
    private static final String NO_END = "no end";

    private static final int SERVER_ERROR = 500;

    private final long windowMillis;
    private final Map<String, Story> stories = new HashMap<>();

    private static final class Story {
        private long cameAt = Long.MAX_VALUE;
        private long waitedMillis;
        private long pauseMillis;
        private String end = NO_END;
        private String failure;
    }

    private static final class Row {
        private int came;
        private int answered;
        private int answeredAfterFailure;
        private long longestWait;
        private long longestPause;
        private final Map<String, Integer> losses = new TreeMap<>();
    }

    LossTable(long windowMillis) {
        this.windowMillis = windowMillis;
    }

    void take(JsonNode line) {
        if (!line.path("request").isTextual()) {
            return;
        }
        Story story = stories.computeIfAbsent(line.path("request").asText(), each -> new Story());
        long age = line.path("ageMs").asLong(0);
        story.cameAt = Math.min(story.cameAt, line.path("at").asLong() - age);
        switch (line.path("event").asText()) {
            case "placed" -> story.waitedMillis = Math.max(story.waitedMillis, age);
            case "attempt failed" -> story.failure = line.path("why").asText();
            case "streamed" -> {
                story.end = "";
                story.pauseMillis = line.path("longestPauseMs").asLong();
            }
            case "answered" -> story.end = line.path("status").asInt() < SERVER_ERROR ? "" : "a server's own failure";
            case "refused", "turned away", "stream broken off" -> story.end =
                    line.path("event").asText() + ": " + line.path("why").asText();
            case "caller left" -> story.end = "caller left";
            default -> {
                // Tells nothing of the request's end.
            }
        }
    }

    /** The table, a line a window; empty when no line names a request. */
    List<String> tell() {
        TreeMap<Long, Row> rows = new TreeMap<>();
        stories.values()
                .forEach(each -> count(each, rows.computeIfAbsent(each.cameAt / windowMillis, at -> new Row())));
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
                row.came,
                row.answered,
                row.answeredAfterFailure,
                row.longestWait,
                row.longestPause,
                losses(row))));
        return table;
    }

    private static void count(Story story, Row row) {
        row.came++;
        row.longestWait = Math.max(row.longestWait, story.waitedMillis);
        row.longestPause = Math.max(row.longestPause, story.pauseMillis);
        if (!story.end.isEmpty()) {
            row.losses.merge(story.end, 1, Integer::sum);
            return;
        }
        row.answered++;
        row.answeredAfterFailure += story.failure == null ? 0 : 1;
    }

    private static String losses(Row row) {
        StringBuilder text = new StringBuilder();
        row.losses.forEach((why, count) -> text.append(text.length() == 0 ? "" : "; ")
                .append(count)
                .append(' ')
                .append(why));
        return text.toString();
    }
}
