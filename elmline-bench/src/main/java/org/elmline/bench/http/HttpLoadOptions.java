package org.elmline.bench.http;

import java.time.Duration;
import java.util.List;

import org.elmline.core.common.Address;

/**
 * Options of one run of open-loop load.
 *
 * @param targets addresses for API callers, used in turn; loopback only
 * @param requestsPerSecond intended requests per second
 * @param maxRequests maximum number of requests sent in total
 * @param maxInFlight maximum number of requests in flight; later ones wait, and the wait counts towards their latency
 * @param promptTokens prompt lengths in tokens, used in turn
 * @param timeout maximum duration of one request
 */
public record HttpLoadOptions(
        List<Address> targets,
        String apiKey,
        String model,
        double requestsPerSecond,
        Duration duration,
        int maxRequests,
        int maxInFlight,
        List<Integer> promptTokens,
        int maxOutputTokens,
        Duration timeout) {
    private static final double MAX_REQUESTS_PER_SECOND = 10_000;
    private static final Duration MAX_DURATION = Duration.ofMinutes(10);
    private static final int MAX_REQUESTS = 1_000_000;

    public HttpLoadOptions {
        targets = List.copyOf(targets);
        promptTokens = List.copyOf(promptTokens);
        if (targets.isEmpty() || promptTokens.isEmpty()) {
            throw new IllegalArgumentException("load needs at least one target and one prompt length");
        }
        for (Address each : targets) {
            if (!each.ip().equals("127.0.0.1")) {
                throw new IllegalArgumentException("load goes to 127.0.0.1 only, not to " + each);
            }
        }
        if (!(requestsPerSecond > 0 && requestsPerSecond <= MAX_REQUESTS_PER_SECOND)) {
            throw new IllegalArgumentException("perSecond must lie above 0 and up to " + MAX_REQUESTS_PER_SECOND);
        }
        if (duration.isNegative() || duration.compareTo(MAX_DURATION) > 0) {
            throw new IllegalArgumentException("a run lasts at most " + MAX_DURATION);
        }
        if (maxRequests < 1 || maxRequests > MAX_REQUESTS || maxInFlight < 1) {
            throw new IllegalArgumentException("maxRequests lies between 1 and 1,000,000, maxInFlight from 1");
        }
    }
}
