package org.elmline.cli.explain;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * The log lines that concern one request: its own, those of its attempts, and those of the servers that it was sent to,
 * from shortly before it until its end. Lines are sorted by the time of day; those of one process with the same
 * millisecond keep the order of its monotonic clock. Between processes the order may be wrong by as much as the hosts'
 * clocks differ.
 */
final class RequestTrace {
    /**
     * Lines of a server are included from this long before a request's first line: a change of the server within its
     * last heartbeats may explain what became of the request.
     */
    private static final long LOOKBACK_MILLIS = 5_000;

    private final String requestId;
    private final List<JsonNode> lines = new ArrayList<>();

    RequestTrace(String requestId) {
        this.requestId = requestId;
    }

    void add(JsonNode line) {
        lines.add(line);
    }

    /** The request's lines in order; empty when no line names the request. */
    List<String> format() {
        Set<String> attempts = new HashSet<>();
        Set<String> servers = new HashSet<>();
        long first = Long.MAX_VALUE;
        long last = Long.MIN_VALUE;
        for (JsonNode each : lines) {
            if (each.path("request").asText().equals(requestId)) {
                textField(each, "attempt").ifPresent(attempts::add);
                textField(each, "server").ifPresent(servers::add);
                first = Math.min(first, each.path("at").asLong());
                last = Math.max(last, each.path("at").asLong());
            }
        }
        List<JsonNode> related = new ArrayList<>();
        for (JsonNode each : lines) {
            if (isRelated(each, attempts, servers, first - LOOKBACK_MILLIS, last)) {
                related.add(each);
            }
        }
        related.sort(Comparator.comparingLong((JsonNode each) -> each.path("at").asLong())
                .thenComparing(each -> each.path("host").asText())
                .thenComparingLong(each -> each.path("mono").asLong()));
        return related.stream().map(RequestTrace::format).toList();
    }

    private boolean isRelated(JsonNode line, Set<String> attempts, Set<String> servers, long from, long until) {
        if (line.path("request").asText().equals(requestId)) {
            return true;
        }
        if (line.path("request").isTextual()) {
            return false;
        }
        long at = line.path("at").asLong();
        boolean ofAttempt = attempts.contains(line.path("attempt").asText());
        boolean ofServer = servers.contains(line.path("server").asText()) && at >= from && at <= until;
        return ofAttempt || ofServer;
    }

    private static Optional<String> textField(JsonNode line, String field) {
        return line.path(field).isTextual() ? Optional.of(line.path(field).asText()) : Optional.empty();
    }

    private static String format(JsonNode line) {
        StringBuilder text = new StringBuilder();
        text.append(line.path("at").asLong()).append(' ');
        text.append(line.path("host").asText())
                .append(' ')
                .append(line.path("event").asText());
        line.properties().forEach(field -> {
            if (!Set.of("at", "mono", "host", "role", "event").contains(field.getKey())) {
                text.append(' ')
                        .append(field.getKey())
                        .append('=')
                        .append(field.getValue().asText());
            }
        });
        return text.toString();
    }
}
