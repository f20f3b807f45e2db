package org.elmline.standin.service;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Counts the runs of each state-changing call, by idempotency key, path and body. Thread-safe. */
public final class RunCounts {
    /** One call and the number of its runs. */
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

    /** Records one run and returns the number of runs so far, this one included. */
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
