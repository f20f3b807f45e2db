package org.elmline.core.config;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.OrganisationId;

/**
 * An organisation that shares the fleet.
 *
 * @param weight share of tokens under contention relative to other organisations, at least 1
 * @param priority 0 to 9; 0 is the most urgent and is shed last
 * @param keyHashes SHA-256 of each API key in lower-case hexadecimal; the keys themselves are never stored
 * @param maxConcurrentRequests requests in flight over all entries, 0 for no limit
 * @param maxTokensPerMinute prompt and output tokens admitted per minute over all entries, 0 for no limit
 * @param removed true when its keys are no longer accepted
 */
@JsonTypeName("organisation")
public record Organisation(
        OrganisationId id,
        int weight,
        int priority,
        List<String> keyHashes,
        int maxConcurrentRequests,
        long maxTokensPerMinute,
        boolean removed)
        implements ConfigObject {
    private static final int LOWEST_PRIORITY = 9;

    public Organisation {
        keyHashes = keyHashes == null ? List.of() : List.copyOf(keyHashes);
        if (id == null || weight < 1 || priority < 0 || priority > LOWEST_PRIORITY) {
            throw new IllegalArgumentException("organisation " + id + ": weight must be at least 1, priority 0 to 9");
        }
        if (maxConcurrentRequests < 0 || maxTokensPerMinute < 0) {
            throw new IllegalArgumentException("organisation " + id + ": limits must not be negative");
        }
    }

    @Override
    public String key() {
        return "organisation/" + id;
    }
}
