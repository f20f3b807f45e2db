package org.elmline.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.ServiceName;

/**
 * When one entry last saw answers go on, by the parts of their prompts. Bounded: the parts seen longest ago are dropped
 * first. Times named {@code now} are monotonic, in nanoseconds. Not safe for concurrent use.
 */
public final class PassLog {
    private static final int MAX_PARTS = 4_096;
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<Key, Long> passedAtNanos = new LinkedHashMap<>();
    private final Map<ServiceName, Long> servicePassedAtNanos = new HashMap<>();

    private record Key(ServiceName service, PromptPart part) {}

    public void record(ServiceName service, Collection<PromptPart> parts, long now) {
        servicePassedAtNanos.put(service, now);
        for (PromptPart each : parts) {
            Key key = new Key(service, each);
            passedAtNanos.remove(key);
            passedAtNanos.put(key, now);
        }
        Iterator<Key> oldest = passedAtNanos.keySet().iterator();
        while (passedAtNanos.size() > MAX_PARTS) {
            oldest.next();
            oldest.remove();
        }
    }

    /** The latest passes of these parts, and the service's latest one. */
    public List<PartPass> latest(ServiceName service, Collection<PromptPart> parts, long now) {
        List<PartPass> passes = new ArrayList<>();
        addLatest(passes, service, null, servicePassedAtNanos.get(service), now);
        parts.forEach(each -> addLatest(passes, service, each, passedAtNanos.get(new Key(service, each)), now));
        return passes;
    }

    private static void addLatest(
            List<PartPass> passes, ServiceName service, PromptPart part, Long passedAtNanos, long now) {
        if (passedAtNanos != null) {
            passes.add(new PartPass(service, part, (now - passedAtNanos) / NANOS_PER_MILLI));
        }
    }
}
