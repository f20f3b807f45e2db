package org.elmline.core.quarantine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.elmline.core.common.ServiceName;

/**
 * The servers that ended at the beginning of answers, with the prompts that they were answering. A part that crashes
 * servers is in all those prompts and in no answer that went on; an answer that goes on with a part voids all that
 * speaks against this part. Bounded: the oldest servers are dropped first. Times named {@code now} are monotonic, in
 * nanoseconds. Not safe for concurrent use.
 */
final class CrashEvidence {
    /** Time for which a crash counts: requests with a rare part may come minutes apart. */
    private static final long RETENTION_NANOS = Duration.ofMinutes(10).toNanos();

    /** An answer that went on this long before a crash still shows that its parts are sound. */
    static final long PASS_VALIDITY_NANOS = Duration.ofSeconds(2).toNanos();

    private static final int MAX_SERVERS = 256;
    private static final int MAX_REQUESTS_PER_SERVER = 64;
    private static final int MAX_PASSES = 4_096;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Map<ServerStart, CrashedServer> crashedServers = new LinkedHashMap<>();
    private final Map<ServicePart, Long> passedAtNanos = new LinkedHashMap<>();

    private record ServicePart(ServiceName service, PromptPart part) {}

    /** One server that ended, and the parts of the prompts that it was answering, by the requests' identities. */
    private record CrashedServer(ServiceName service, long atNanos, Map<String, Set<PromptPart>> prompts) {}

    /**
     * How much speaks against a group.
     *
     * @param servers servers that ended under prompts with the group
     * @param requests different requests among those prompts, each under which other servers ended
     */
    record Support(int servers, int requests) {}

    /** Records a crash. Returns whether it was not known yet. */
    boolean addCrash(ServerCrash crash, long now) {
        removeExpired(now);
        CrashedServer server = crashedServers.computeIfAbsent(
                new ServerStart(crash.server(), crash.bornMillis()),
                each -> new CrashedServer(crash.service(), now - crash.ageMillis() * NANOS_PER_MILLI, new TreeMap<>()));
        if (crashedServers.size() > MAX_SERVERS) {
            crashedServers.remove(crashedServers.keySet().iterator().next());
        }
        if (server.prompts().size() >= MAX_REQUESTS_PER_SERVER) {
            return false;
        }
        return server.prompts().putIfAbsent(crash.identity(), Set.copyOf(crash.parts())) == null;
    }

    private void removeExpired(long now) {
        crashedServers.values().removeIf(each -> now - each.atNanos() >= RETENTION_NANOS);
        passedAtNanos.values().removeIf(each -> now - each >= RETENTION_NANOS + PASS_VALIDITY_NANOS);
    }

    /** Records that an answer to a prompt with the part went on. */
    void addPass(ServiceName service, PromptPart part, long atNanos) {
        passedAtNanos.merge(new ServicePart(service, part), atNanos, (a, b) -> a - b >= 0 ? a : b);
        if (passedAtNanos.size() > MAX_PASSES) {
            Iterator<ServicePart> oldest = passedAtNanos.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Forgets all that speaks against the parts of a group. */
    void clear(ServiceName service, PartGroup group, long now) {
        group.parts().forEach(each -> addPass(service, each, now));
    }

    private boolean isOpen(CrashedServer server, PromptPart part) {
        Long passed = passedAtNanos.get(new ServicePart(server.service(), part));
        return passed == null || passed - (server.atNanos() - PASS_VALIDITY_NANOS) < 0;
    }

    /** What speaks against all parts of a group together. */
    Support support(ServiceName service, PartGroup group) {
        return support(openServers(service, group), group);
    }

    /** Servers that no answer with a part of the group speaks for. */
    private List<CrashedServer> openServers(ServiceName service, PartGroup group) {
        return crashedServers.values().stream()
                .filter(each -> each.service().equals(service))
                .filter(each -> group.parts().stream().allMatch(part -> isOpen(each, part)))
                .toList();
    }

    /**
     * Whether a further part was in a prompt with the group on every server that ended under the group, so that the
     * larger group, which restricts fewer calls, explains as much.
     */
    boolean hasLargerCause(ServiceName service, PartGroup group) {
        Set<PromptPart> further = null;
        for (CrashedServer each : openServers(service, group)) {
            if (matchingRequests(each, group).isEmpty()) {
                continue;
            }
            Set<PromptPart> beside = partsBeside(each, group);
            if (further == null) {
                further = beside;
            } else {
                further.retainAll(beside);
            }
            if (further.isEmpty()) {
                return false;
            }
        }
        return further != null;
    }

    private Set<PromptPart> partsBeside(CrashedServer server, PartGroup group) {
        PromptPart ofGroup = group.parts().get(0);
        Set<PromptPart> beside = new HashSet<>();
        server.prompts().values().stream().filter(group::isContainedIn).forEach(beside::addAll);
        beside.removeIf(each -> each.isRequest()
                || group.parts().contains(each)
                || !isOpen(server, each)
                || isLikelySound(server.service(), each, ofGroup));
        return beside;
    }

    private static Support support(List<CrashedServer> servers, PartGroup group) {
        Map<String, Set<CrashedServer>> serversByRequest = new HashMap<>();
        int matching = 0;
        for (CrashedServer each : servers) {
            List<String> requests = matchingRequests(each, group);
            requests.forEach(request -> serversByRequest
                    .computeIfAbsent(request, key -> Collections.newSetFromMap(new IdentityHashMap<>()))
                    .add(each));
            matching += requests.isEmpty() ? 0 : 1;
        }
        return new Support(matching, independentRequests(serversByRequest.values()));
    }

    /**
     * What speaks against a whole request that may merely have run beside the cause: servers that ended under a prompt
     * with a known group don't.
     *
     * @param known groups of parts of the same service that are restricted already
     */
    Support unexplainedSupport(ServiceName service, PartGroup request, Collection<PartGroup> known) {
        return support(unexplainedServers(service, request, known), request);
    }

    /** Whether all servers that a request is not cleared of ended under another request, under which others ended too. */
    boolean endedUnderAnother(ServiceName service, PartGroup request, Collection<PartGroup> known) {
        List<CrashedServer> servers = unexplainedServers(service, request, known);
        if (servers.isEmpty()) {
            return false;
        }
        return servers.get(0).prompts().keySet().stream()
                .filter(other ->
                        servers.stream().allMatch(each -> each.prompts().containsKey(other)))
                .anyMatch(other -> serversUnder(other, service) > servers.size());
    }

    private List<CrashedServer> unexplainedServers(
            ServiceName service, PartGroup request, Collection<PartGroup> known) {
        PromptPart part = request.parts().get(0);
        return crashedServers.values().stream()
                .filter(each -> each.service().equals(service) && each.prompts().containsKey(part.value()))
                .filter(each -> isOpen(each, part) && !isExplained(each, known))
                .toList();
    }

    /** The whole requests of a service under which at least so many servers ended. */
    List<PartGroup> requestsUnderWhichEnded(ServiceName service, int minServers) {
        Map<PromptPart, Integer> counts = new HashMap<>();
        crashedServers.values().stream()
                .filter(each -> each.service().equals(service))
                .flatMap(each -> each.prompts().values().stream().flatMap(Set::stream))
                .filter(PromptPart::isRequest)
                .forEach(each -> counts.merge(each, 1, Integer::sum));
        return counts.entrySet().stream()
                .filter(each -> each.getValue() >= minServers)
                .map(each -> PartGroup.of(List.of(each.getKey())))
                .toList();
    }

    private long serversUnder(String identity, ServiceName service) {
        return crashedServers.values().stream()
                .filter(each -> each.service().equals(service) && each.prompts().containsKey(identity))
                .count();
    }

    /** Requests of which no other one ended the same servers: those that merely ran beside it show nothing more. */
    private static int independentRequests(Collection<Set<CrashedServer>> serversOfRequests) {
        List<Set<CrashedServer>> largestFirst = new ArrayList<>(serversOfRequests);
        largestFirst.sort(Comparator.comparing((Set<CrashedServer> each) -> -each.size()));
        List<Set<CrashedServer>> independent = new ArrayList<>();
        for (Set<CrashedServer> each : largestFirst) {
            if (independent.stream().noneMatch(larger -> larger.containsAll(each))) {
                independent.add(each);
            }
        }
        return independent.size();
    }

    private static List<String> matchingRequests(CrashedServer server, PartGroup group) {
        List<String> matching = new ArrayList<>();
        server.prompts().forEach((request, parts) -> {
            if (group.isContainedIn(parts)) {
                matching.add(request);
            }
        });
        return matching;
    }

    /** Whether answers to prompts with each part of a group have gone on at some time, so that it is likely sound. */
    boolean hasPassedBefore(ServiceName service, PartGroup group) {
        return group.parts().stream().allMatch(each -> hasPassedBefore(service, each));
    }

    private boolean hasPassedBefore(ServiceName service, PromptPart part) {
        return passedAtNanos.containsKey(new ServicePart(service, part));
    }

    /**
     * The group that a crash makes suspect: of the parts of its prompt, the one under which most servers ended, with
     * all parts that were in each of those prompts too. Parts that no answer has ever gone on with come first, and of
     * equal ones that with most other parts, which restricts fewest calls. Servers that ended under prompts with a known group are explained by that group and speak against no other one.
     *
     * @param known groups of the same service that are restricted already
     */
    Optional<PartGroup> suspect(ServerCrash crash, Collection<PartGroup> known) {
        Map<PromptPart, List<CrashedServer>> serversByPart = unexplainedServers(crash, known);
        return serversByPart.keySet().stream()
                .filter(each -> isSuspect(crash.service(), each, serversByPart.get(each), known))
                .max(Comparator.comparing((PromptPart each) -> !hasPassedBefore(crash.service(), each))
                        .thenComparing(each -> serversByPart.get(each).size())
                        .thenComparing(each -> commonParts(each, serversByPart.get(each))
                                .parts()
                                .size())
                        .thenComparing(Comparator.naturalOrder()))
                .map(each -> commonParts(each, serversByPart.get(each)));
    }

    private Map<PromptPart, List<CrashedServer>> unexplainedServers(ServerCrash crash, Collection<PartGroup> known) {
        Map<PromptPart, List<CrashedServer>> byPart = new HashMap<>();
        for (CrashedServer each : crashedServers.values()) {
            if (!each.service().equals(crash.service()) || isExplained(each, known)) {
                continue;
            }
            for (PromptPart part : crash.parts()) {
                if (part.isRequest()) {
                    continue;
                }
                boolean begun = each.prompts().values().stream().anyMatch(prompt -> prompt.contains(part));
                if (begun && isOpen(each, part)) {
                    byPart.computeIfAbsent(part, key -> new ArrayList<>()).add(each);
                }
            }
        }
        return byPart;
    }

    private static boolean isExplained(CrashedServer server, Collection<PartGroup> known) {
        return server.prompts().values().stream()
                .anyMatch(prompt -> known.stream().anyMatch(group -> group.isContainedIn(prompt)));
    }

    private boolean isSuspect(
            ServiceName service, PromptPart part, List<CrashedServer> servers, Collection<PartGroup> known) {
        // The other parts of the known group were missing this time.
        boolean ofKnownGroup = known.stream().anyMatch(each -> each.parts().contains(part));
        Threshold threshold =
                ofKnownGroup ? Threshold.SUSPECT_AGAIN : Threshold.toSuspect(hasPassedBefore(service, part));
        return threshold.isReachedBy(support(servers, PartGroup.of(List.of(part))));
    }

    private PartGroup commonParts(PromptPart part, List<CrashedServer> servers) {
        Set<PromptPart> common = null;
        for (CrashedServer each : servers) {
            for (Set<PromptPart> prompt : each.prompts().values()) {
                if (!prompt.contains(part)) {
                    continue;
                }
                Set<PromptPart> open = new HashSet<>(prompt);
                open.removeIf(other ->
                        other.isRequest() || !isOpen(each, other) || isLikelySound(each.service(), other, part));
                if (common == null) {
                    common = open;
                } else {
                    common.retainAll(open);
                }
            }
        }
        return PartGroup.of(common);
    }

    /** Whether a part has passed before and the one that it came with has not. */
    private boolean isLikelySound(ServiceName service, PromptPart part, PromptPart worst) {
        return hasPassedBefore(service, part) && !hasPassedBefore(service, worst);
    }

    /**
     * The parts that anything speaks against, by service. Requests are left out: their own entries report answers to
     * them, and a loss of many servers would name thousands.
     */
    List<SuspectParts> suspects() {
        Map<ServiceName, Set<PromptPart>> byService = new TreeMap<>();
        for (CrashedServer each : crashedServers.values()) {
            Set<PromptPart> suspects = byService.computeIfAbsent(each.service(), name -> new HashSet<>());
            each.prompts().values().forEach(prompt -> prompt.stream()
                    .filter(part -> !part.isRequest() && isOpen(each, part))
                    .forEach(suspects::add));
        }
        List<SuspectParts> all = new ArrayList<>();
        byService.forEach((service, parts) -> {
            if (!parts.isEmpty()) {
                all.add(new SuspectParts(service, parts.stream().sorted().toList()));
            }
        });
        return all;
    }
}
