package org.elmline.core.route;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.ServiceName;
import org.elmline.core.control.HostRecord;
import org.elmline.core.placement.Demand;

/**
 * Holds the last summary of each owner and chooses the owner for a request. All entries choose on summaries of about
 * the same age; if each took the best owner, all would send to the same one until the next summary. Therefore an entry
 * compares a few owners drawn at random ("the power of two choices", Mitzenmacher, 1996), adds the work that it has
 * sent itself since their last summary, and draws among those that are about equal. All methods may be called from any
 * thread.
 */
public final class OwnerTable implements OwnedServers {
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int SAMPLE_SIZE = 4;
    private static final double PREFIX_HIT_PROBABILITY = 0.5;
    private static final double NEAR_BEST_FACTOR = 1.1;
    private static final long NEAR_BEST_MILLIS = 10;
    private static final long INSUFFICIENT_MEMORY_PENALTY_MILLIS = 1_000;

    private final HostRecord self;
    private final OwnerTableSettings settings;
    private final Map<HostId, OwnerState> owners = new HashMap<>();
    private final Map<HostId, HostRecord> members = new HashMap<>();

    public OwnerTable(HostRecord self, OwnerTableSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Sets the live entries; summaries of all others are dropped. */
    public synchronized void members(Collection<HostRecord> live) {
        members.clear();
        live.forEach(each -> members.put(each.id(), each));
        owners.values().removeIf(each -> !isLive(each.summary));
    }

    /** Stores a summary; the answer is false for one that is not newer than the one held, and then nothing changes. */
    public synchronized SummaryAnswer accept(OwnerSummary summary, long now) {
        OwnerState known = owners.get(summary.owner());
        if (known != null && !isNewer(summary, known.summary)) {
            return new SummaryAnswer(false);
        }
        owners.put(summary.owner(), new OwnerState(summary, now));
        return new SummaryAnswer(true);
    }

    /**
     * Updates a model's state from an owner's answer.
     *
     * @param summary null when the owner has no engine of the model any more
     */
    public synchronized void refresh(HostId owner, Demand demand, ModelSummary summary) {
        OwnerState known = owners.get(owner);
        if (known != null) {
            known.replaceModel(demand, summary);
        }
    }

    /**
     * Chooses the owner to send a demand to; empty when no untried owner is known to serve its model.
     *
     * @param tried owners that refused this request already
     */
    public synchronized Optional<OwnerChoice> choose(
            Demand demand, Set<HostId> tried, RandomGenerator random, long now) {
        List<OwnerState> candidates = new ArrayList<>();
        for (OwnerState each : owners.values()) {
            boolean fresh = now - each.receivedAtNanos < settings.maxAgeMillis() * NANOS_PER_MILLI;
            if (fresh && !tried.contains(each.summary.owner()) && serves(each, demand)) {
                candidates.add(each);
            }
        }
        List<OwnerState> sampled = sample(candidates, demand, random);
        long best = sampled.stream()
                .mapToLong(each -> predictFirstTokenMillis(each, demand))
                .min()
                .orElse(0);
        List<OwnerState> nearBest = new ArrayList<>();
        for (OwnerState each : sampled) {
            if (predictFirstTokenMillis(each, demand) <= Math.max(best * NEAR_BEST_FACTOR, best + NEAR_BEST_MILLIS)) {
                nearBest.add(each);
            }
        }
        if (nearBest.isEmpty()) {
            return Optional.empty();
        }
        OwnerState chosen = nearBest.get(random.nextInt(nearBest.size()));
        OwnerChoice choice =
                new OwnerChoice(members.get(chosen.summary.owner()), predictFirstTokenMillis(chosen, demand));
        chosen.addSentWork(demand, settings.cost().costTokens(demand.promptTokens(), 0));
        return Optional.of(choice);
    }

    /** Engines estimated to be free for segments of a prompt larger than one engine. */
    public synchronized List<GroupSlot> groupSlots(ModelName model, long now) {
        List<GroupSlot> slots = new ArrayList<>();
        for (OwnerState each : owners.values()) {
            ModelSummary summary = each.models.get(model.value());
            boolean fresh = now - each.receivedAtNanos < settings.maxAgeMillis() * NANOS_PER_MILLI;
            if (fresh && summary != null && isLive(each.summary)) {
                addGroupSlots(each.summary.owner(), summary, slots);
            }
        }
        return slots;
    }

    /** A summary gives the largest free memory and the sum; the rest is assumed to be spread evenly. */
    private static void addGroupSlots(HostId owner, ModelSummary summary, List<GroupSlot> slots) {
        double speed = Math.max(1, summary.prefillTokensPerSecond());
        int others = summary.readyReplicas() - 1;
        slots.add(new GroupSlot(owner, summary.freeKvTokens(), speed));
        for (int i = 0; i < others; i++) {
            long free = (summary.groupKvTokens() - summary.freeKvTokens()) / others;
            slots.add(new GroupSlot(owner, free, speed));
        }
    }

    /** The owner whose summary lists a backend server; the one with the latest summary when two do. */
    public synchronized Optional<HostRecord> ownerOf(BackendServerId server) {
        int key = Ownership.shortHash(server);
        OwnerState latest = null;
        for (OwnerState each : owners.values()) {
            boolean owns = each.summary.servers().contains(key) && isLive(each.summary);
            if (owns && (latest == null || each.receivedAtNanos - latest.receivedAtNanos > 0)) {
                latest = each;
            }
        }
        return Optional.ofNullable(latest).map(each -> members.get(each.summary.owner()));
    }

    /** Replicas of a plain service that take new calls. */
    public synchronized List<ServiceReplica> serviceReplicas(ServiceName service, long now) {
        List<ServiceReplica> found = new ArrayList<>();
        Set<BackendServerId> seen = new HashSet<>();
        for (OwnerState each : owners.values()) {
            if (now - each.receivedAtNanos >= settings.maxAgeMillis() * NANOS_PER_MILLI) {
                continue;
            }
            for (ServiceReplica replica : each.summary.services()) {
                if (replica.service().equals(service) && seen.add(replica.server())) {
                    found.add(replica);
                }
            }
        }
        return found;
    }

    @Override
    public synchronized List<Integer> serverHashes(HostId owner) {
        OwnerState known = owners.get(owner);
        return known == null ? List.of() : known.summary.servers();
    }

    public synchronized int size() {
        return owners.size();
    }

    private boolean serves(OwnerState known, Demand demand) {
        ModelSummary model = known.model(demand);
        return model != null
                && model.readyReplicas() > 0
                && isLive(known.summary)
                && !members.get(known.summary.owner()).leaving();
    }

    private boolean isLive(OwnerSummary summary) {
        HostRecord member = members.get(summary.owner());
        return member != null && member.incarnation().compareTo(summary.incarnation()) <= 0;
    }

    private static boolean isNewer(OwnerSummary next, OwnerSummary held) {
        int order = next.incarnation().compareTo(held.incarnation());
        return order > 0 || order == 0 && next.sequence() > held.sequence();
    }

    /** Draws a few owners at random and adds those that may have the prompt's prefix cached. */
    private List<OwnerState> sample(List<OwnerState> candidates, Demand demand, RandomGenerator random) {
        if (candidates.size() <= SAMPLE_SIZE) {
            return candidates;
        }
        List<OwnerState> sampled = new ArrayList<>();
        for (int i = 0; i < SAMPLE_SIZE; i++) {
            int j = i + random.nextInt(candidates.size() - i);
            OwnerState picked = candidates.get(j);
            candidates.set(j, candidates.get(i));
            candidates.set(i, picked);
            sampled.add(picked);
        }
        for (OwnerState each : candidates.subList(SAMPLE_SIZE, candidates.size())) {
            if (each.mayHavePrefixCached(demand)) {
                sampled.add(each);
            }
        }
        return sampled;
    }

    private long predictFirstTokenMillis(OwnerState known, Demand demand) {
        ModelSummary model = known.model(demand);
        double speed = Math.max(1, model.prefillTokensPerSecond());
        long prefixTokens = (long) demand.prefixHashes().size() * settings.blockTokens();
        int cached = known.mayHavePrefixCached(demand)
                ? (int) (PREFIX_HIT_PROBABILITY * Math.min(prefixTokens, demand.promptTokens()))
                : 0;
        double own = settings.cost().costTokens(demand.promptTokens(), cached) / speed;
        double sent = known.sentWork(demand) / (speed * model.readyReplicas());
        long penalty = model.freeKvTokens() < demand.kvTokens() ? INSUFFICIENT_MEMORY_PENALTY_MILLIS : 0;
        HostRecord owner = members.get(known.summary.owner());
        penalty += owner.region().equals(self.region()) ? 0 : settings.otherRegionMillis();
        return model.waitMillis(demand.lengthClass()) + penalty + Math.round((own + sent) * MILLIS_PER_SECOND);
    }

    /** One owner's last summary, with the work sent to it since. */
    private static final class OwnerState {
        private final OwnerSummary summary;
        private final long receivedAtNanos;
        private final Map<String, ModelSummary> models = new HashMap<>();
        private final Map<String, Long> sentWork = new HashMap<>();

        OwnerState(OwnerSummary summary, long receivedAtNanos) {
            this.summary = summary;
            this.receivedAtNanos = receivedAtNanos;
            summary.models().forEach(each -> models.put(each.model().value(), each));
        }

        void replaceModel(Demand demand, ModelSummary model) {
            String key = demand.model().value();
            sentWork.remove(key);
            if (model == null) {
                models.remove(key);
            } else {
                models.put(key, model);
            }
        }

        void addSentWork(Demand demand, long work) {
            sentWork.merge(demand.model().value(), work, Long::sum);
        }

        long sentWork(Demand demand) {
            return sentWork.getOrDefault(demand.model().value(), 0L);
        }

        ModelSummary model(Demand demand) {
            return models.get(demand.model().value());
        }

        boolean mayHavePrefixCached(Demand demand) {
            return !demand.prefixHashes().isEmpty()
                    && model(demand)
                            .prefixes()
                            .contains(
                                    ModelSummary.shortHash(demand.prefixHashes().get(0)));
        }
    }
}
