package org.elmline.core.ledger;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.elmline.core.backend.Announcement;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ModelName;
import org.elmline.core.engine.CacheEvents;
import org.elmline.core.route.Grant;

/**
 * All grants of one owner. A grant lives from {@link #reserve} to the first {@link #release}, the restart of its engine
 * or the removal of a lost engine; later calls for it change nothing. Times are nanoseconds of one monotonic clock. Not
 * thread-safe.
 */
public final class Ledger {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final int MAX_TOMBSTONES = 8_192;

    private final LedgerSettings settings;
    private final Map<BackendServerId, EngineLedger> engines = new TreeMap<>();
    private final Map<AttemptId, EngineLedger> engineByAttempt = new HashMap<>();
    private final Map<ModelName, List<EngineLedger>> enginesByModel = new HashMap<>();
    private final Map<AttemptId, Boolean> tombstones = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<AttemptId, Boolean> eldest) {
            return size() > MAX_TOMBSTONES;
        }
    };

    public Ledger(LedgerSettings settings) {
        this.settings = settings;
    }

    /**
     * Adds or updates an engine from its announcement. A later incarnation begins without grants, since its memory is
     * empty at its start.
     */
    public void announce(Announcement announcement, long now) {
        EngineLedger known = engines.get(announcement.id());
        if (known != null && !known.announcement().incarnation().equals(announcement.incarnation())) {
            removeEngine(announcement.id());
            known = null;
        }
        if (known == null) {
            engines.put(announcement.id(), new EngineLedger(announcement, settings, now));
            enginesByModel.clear();
            return;
        }
        boolean sameNames = known.announcement().names().equals(announcement.names());
        known.updateAnnouncement(announcement);
        if (!sameNames) {
            enginesByModel.clear();
        }
    }

    /** Stops new work on an engine whose lease expired; its grants stay until their entries release them. */
    public void markUnreachable(BackendServerId server) {
        EngineLedger engine = engines.get(server);
        if (engine != null) {
            engine.markUnreachable();
        }
    }

    /** Removes an engine with all its grants and returns those. */
    public List<Grant> removeEngine(BackendServerId server) {
        EngineLedger engine = engines.remove(server);
        if (engine == null) {
            return List.of();
        }
        enginesByModel.clear();
        List<Grant> dropped = new ArrayList<>();
        for (LedgerEntry each : engine.entries()) {
            dropped.add(each.grant());
            engineByAttempt.remove(each.grant().attempt());
            tombstones.put(each.grant().attempt(), Boolean.TRUE);
        }
        return dropped;
    }

    /**
     * Reserves a grant's memory and counts its prompt as backlog; that of a segment counts only from
     * {@link #beginPrefill} on.
     *
     * @param contextTokens imported tokens before a segment; they raise the cost of its prefill
     * @return false when the attempt is known or was released before, or its engine's incarnation is not owned
     */
    public boolean reserve(Grant grant, List<Long> prefixHashes, int contextTokens, long now) {
        EngineLedger engine = engines.get(grant.server());
        if (engine == null || !engine.announcement().incarnation().equals(grant.serverIncarnation())) {
            return false;
        }
        // A request delivered after its own release would otherwise reserve memory that is never released.
        if (engineByAttempt.containsKey(grant.attempt()) || tombstones.containsKey(grant.attempt())) {
            return false;
        }
        long cost =
                settings.cost().costTokens(contextTokens + grant.promptTokens(), contextTokens + grant.cachedTokens());
        long deadline = now + grant.remainingMillis() * NANOS_PER_MILLI;
        engine.reserve(new LedgerEntry(grant, prefixHashes, cost, now, deadline, engine.finishedWork()), now);
        engineByAttempt.put(grant.attempt(), engine);
        return true;
    }

    /** Releases a grant. Empty when it is not held, which is no error: releases arrive late, twice and after a loss. */
    public Optional<Grant> release(AttemptId attempt, boolean engineFault, long now) {
        tombstones.put(attempt, Boolean.TRUE);
        EngineLedger engine = engineByAttempt.remove(attempt);
        if (engine == null) {
            return Optional.empty();
        }
        return Optional.ofNullable(engine.release(attempt, engineFault, now)).map(LedgerEntry::grant);
    }

    /** Records that the prompt was read: it no longer counts as backlog. False when the grant is not held. */
    public boolean onFirstToken(AttemptId attempt, long now) {
        EngineLedger engine = engineByAttempt.get(attempt);
        if (engine == null) {
            return false;
        }
        engine.onFirstToken(engine.entry(attempt), now);
        return true;
    }

    /**
     * Records that a segment's prefill may begin: from now on it counts as backlog. False when the grant is not held.
     */
    public boolean beginPrefill(AttemptId attempt, long now) {
        EngineLedger engine = engineByAttempt.get(attempt);
        if (engine == null) {
            return false;
        }
        engine.beginPrefill(engine.entry(attempt), now);
        return true;
    }

    public boolean wasReleased(AttemptId attempt) {
        return tombstones.containsKey(attempt);
    }

    public Optional<Grant> grant(AttemptId attempt) {
        EngineLedger engine = engineByAttempt.get(attempt);
        return Optional.ofNullable(engine).map(found -> found.grant(attempt));
    }

    /** Grants for which the condition holds. */
    public List<Grant> grants(Predicate<Grant> condition) {
        List<Grant> found = new ArrayList<>();
        for (EngineLedger engine : engines.values()) {
            for (LedgerEntry each : engine.entries()) {
                if (condition.test(each.grant())) {
                    found.add(each.grant());
                }
            }
        }
        return found;
    }

    public void forEachGrant(Consumer<Grant> visitor) {
        for (EngineLedger engine : engines.values()) {
            engine.entries().forEach(each -> visitor.accept(each.grant()));
        }
    }

    /** Grants whose deadline passed at least {@code graceNanos} ago without a release by their entry. */
    public List<Grant> overdueGrants(long now, long graceNanos) {
        List<Grant> found = new ArrayList<>();
        for (EngineLedger engine : engines.values()) {
            for (LedgerEntry each : engine.entries()) {
                if (now - each.deadlineNanos() >= graceNanos) {
                    found.add(each.grant());
                }
            }
        }
        return found;
    }

    /**
     * Sets the memory that an engine holds without a grant here. Each listing replaces the value, so no release is
     * needed.
     */
    public void updateUnregisteredKvTokens(BackendServerId server, long kvTokens) {
        EngineLedger engine = engines.get(server);
        if (engine != null) {
            engine.unregisteredKvTokens(kvTokens);
        }
    }

    public void applyCacheEvents(BackendServerId server, CacheEvents events) {
        EngineLedger engine = engines.get(server);
        if (engine != null) {
            engine.apply(events);
        }
    }

    /** Updates every engine's speed bound from its overdue first tokens; call several times a second. */
    public void updateSpeedBounds(long now) {
        for (EngineLedger each : engines.values()) {
            each.updateSpeedBound(now);
        }
    }

    /** Sets the time for the backlog and speed estimates of a model's engines; call before predicting with them. */
    public void advanceClock(ModelName model, long now) {
        for (EngineLedger each : engines(model)) {
            each.advanceClock(now);
        }
    }

    public Optional<EngineLedger> engine(BackendServerId server) {
        return Optional.ofNullable(engines.get(server));
    }

    /** All engines, ordered by id. */
    public Collection<EngineLedger> engines() {
        return Collections.unmodifiableCollection(engines.values());
    }

    /** Engines that serve a model, ordered by id, those that take no work included. */
    public List<EngineLedger> engines(ModelName model) {
        List<EngineLedger> known = enginesByModel.get(model);
        if (known != null) {
            return known;
        }
        List<EngineLedger> found = findEngines(model);
        if (!found.isEmpty()) {
            enginesByModel.put(model, found);
        }
        return found;
    }

    /** Models that some engine here serves. */
    public List<ModelName> models() {
        return engines.values().stream()
                .flatMap(engine -> engine.announcement().names().stream())
                .distinct()
                .sorted()
                .map(ModelName::of)
                .toList();
    }

    public int openGrants() {
        return engineByAttempt.size();
    }

    private List<EngineLedger> findEngines(ModelName model) {
        return engines.values().stream().filter(each -> each.serves(model)).toList();
    }
}
