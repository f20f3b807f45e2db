package org.elmline.standin.service;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts how often each call that changes something ran, by idempotency key, path and body. */
public final class RunCounts {
    /** One call and how often it ran. */
    public record Run(String idempotencyKey, String path, String body, int count) {}

    private record Call(String idempotencyKey, String path, String body) implements Comparable<Call> {
        @Override
        public int compareTo(Call other) {
            int byKey = idempotencyKey.compareTo(other.idempotencyKey);
            if (byKey != 0) {
                return byKey;
            }
            int byPath = path.compareTo(other.path);
            return byPath != 0 ? byPath : body.compareTo(other.body);
        }
    }

    private final Map<Call, Integer> counts = new TreeMap<>();

    /** How often it has run, this time included. */
    public synchronized int recordRun(String idempotencyKey, String path, String body) {
        return counts.merge(new Call(idempotencyKey, path, body), 1, Integer::sum);
    }

    public synchronized List<Run> runs() {
        return counts.entrySet().stream()
                .map(e -> new Run(
                        e.getKey().idempotencyKey(),
                        e.getKey().path(),
                        e.getKey().body(),
                        e.getValue()))
                .toList();
    }
}
