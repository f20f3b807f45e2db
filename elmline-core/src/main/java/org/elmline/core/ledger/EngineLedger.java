package org.elmline.core.ledger;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.backend.Announcement;
import org.elmline.core.common.AttemptId;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.ModelName;
import org.elmline.core.engine.CacheEvents;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PrefillBacklog;
import org.elmline.core.placement.Replica;
import org.elmline.core.placement.WaitPredictor;
import org.elmline.core.route.Grant;

/**
 * What one engine holds for its owner's grants, and its measured prefill speed. Changed only through {@link Ledger}.
 * Not thread-safe.
 */
public final class EngineLedger implements Replica {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long FIRST_TOKEN_ALLOWANCE_NANOS = 150 * NANOS_PER_MILLI;
    private static final long DEFAULT_TOKENS_PER_SECOND = 8_000;
    private static final double MIN_TOKENS_PER_SECOND = 1;
    private static final long INITIAL_COOLDOWN_NANOS = 1_000 * NANOS_PER_MILLI;
    private static final int MAX_COOLDOWN_DOUBLINGS = 5;

    private final LedgerSettings settings;
    private final WaitPredictor predictor;
    private final PrefillBacklog backlog;
    private final PrefixCacheEstimate prefixes = new PrefixCacheEstimate();
    private final Map<AttemptId, LedgerEntry> entries = new LinkedHashMap<>();
    private final long[] pendingPrefillTokens = new long[LengthClass.values().length];
    private final int[] openStreamsByClass = new int[LengthClass.values().length];
    private Announcement announcement;
    private long grantedKvTokens;
    private long unregisteredKvTokens;
    private double maxTokensPerSecond = Double.MAX_VALUE;
    private long clockNanos;
    private long placedWork;
    private long finishedWork;
    private boolean reachable = true;
    private int consecutiveFaults;
    private long cooldownUntilNanos;

    EngineLedger(Announcement announcement, LedgerSettings settings, long now) {
        this.settings = settings;
        this.predictor = new WaitPredictor(settings.placement());
        this.backlog = new PrefillBacklog(announcedTokensPerSecond(announcement), now);
        this.clockNanos = now;
        updateAnnouncement(announcement);
    }

    /** Sets the time at which backlog and speed are estimated. */
    void advanceClock(long now) {
        clockNanos = now;
    }

    void updateAnnouncement(Announcement next) {
        announcement = next;
        reachable = true;
    }

    void markUnreachable() {
        reachable = false;
    }

    void reserve(LedgerEntry entry, long now) {
        entries.put(entry.grant().attempt(), entry);
        grantedKvTokens += entry.grant().kvTokens();
        openStreamsByClass[entry.lengthClass().ordinal()]++;
        if (entry.awaitingFirstToken()) {
            startPrefill(entry, now);
        }
    }

    LedgerEntry release(AttemptId attempt, boolean engineFault, long now) {
        LedgerEntry entry = entries.remove(attempt);
        if (entry == null) {
            return null;
        }
        grantedKvTokens -= entry.grant().kvTokens();
        openStreamsByClass[entry.lengthClass().ordinal()]--;
        if (entry.awaitingFirstToken()) {
            pendingPrefillTokens[entry.lengthClass().ordinal()] -= entry.grant().promptTokens();
            finishedWork += entry.cost();
            backlog.cancel(entry.prefill(), now);
        }
        if (engineFault) {
            startCooldown(now);
        }
        return entry;
    }

    void onFirstToken(LedgerEntry entry, long now) {
        if (!entry.awaitingFirstToken()) {
            return;
        }
        pendingPrefillTokens[entry.lengthClass().ordinal()] -= entry.grant().promptTokens();
        entry.finishPrefill();
        finishedWork += entry.cost();
        backlog.recordFirstToken(entry.prefill(), now);
        prefixes.recordStored(entry.prefixHashes());
        consecutiveFaults = 0;
    }

    /** Makes a segment eligible for prefill. */
    void beginPrefill(LedgerEntry entry, long now) {
        if (!entry.beginPrefill(now, finishedWork)) {
            return;
        }
        startPrefill(entry, now);
    }

    /** Sets the memory that the engine holds for streams and exports without a grant here, by its last listing. */
    void unregisteredKvTokens(long kvTokens) {
        unregisteredKvTokens = kvTokens;
    }

    void apply(CacheEvents events) {
        prefixes.apply(events);
    }

    /**
     * Limits the estimated speed by the first tokens that are overdue. While one prompt waits, the engine can't have
     * done more than all the work that was open when it could begin to read that prompt, or was placed since; that work
     * divided by the time waited is an upper bound of its speed, in whatever order it reads. The bound shows a slow
     * engine before its first late answer arrives.
     */
    void updateSpeedBound(long now) {
        maxTokensPerSecond = Double.MAX_VALUE;
        for (LedgerEntry each : entries.values()) {
            long waited = now - each.eligibleAtNanos() - FIRST_TOKEN_ALLOWANCE_NANOS;
            if (each.awaitingFirstToken() && waited > 0) {
                maxTokensPerSecond = Math.min(
                        maxTokensPerSecond, (placedWork - each.finishedWorkBefore()) * NANOS_PER_SECOND / waited);
            }
        }
    }

    long finishedWork() {
        return finishedWork;
    }

    LedgerEntry entry(AttemptId attempt) {
        return entries.get(attempt);
    }

    Collection<LedgerEntry> entries() {
        return entries.values();
    }

    public Announcement announcement() {
        return announcement;
    }

    public boolean serves(ModelName model) {
        return announcement.names().contains(model.value());
    }

    public boolean hasAdapter(String adapter) {
        return adapter == null || adapter.isEmpty() || announcement.adapters().contains(adapter);
    }

    /** Whether it may get new work: its lease is valid, it is not leaving and not in cooldown after a failure. */
    public boolean acceptsWork(long now) {
        return isAvailable() && now - cooldownUntilNanos >= 0;
    }

    /** Whether its lease is valid and it is not leaving; it may be in cooldown after a failure. */
    public boolean isAvailable() {
        return reachable && !announcement.leaving();
    }

    /** Milliseconds of cooldown left after a failure; 0 or less when it is not in cooldown. */
    public long cooldownMillis(long now) {
        return (cooldownUntilNanos - now) / NANOS_PER_MILLI;
    }

    public boolean reachable() {
        return reachable;
    }

    /** Whether each of its grants is past its deadline by at least {@code graceNanos}; true when it has none. */
    public boolean areAllGrantsOverdue(long now, long graceNanos) {
        for (LedgerEntry each : entries.values()) {
            if (now - each.deadlineNanos() < graceNanos) {
                return false;
            }
        }
        return true;
    }

    /** Sequence number of the last cache event applied. */
    public long lastCacheSequence() {
        return prefixes.lastSequence();
    }

    public boolean isCacheInSync() {
        return prefixes.inSync();
    }

    /** Prompt work in tokens that the engine reads before a new prompt of the class. */
    public long workAhead(LengthClass lengthClass) {
        long work = 0;
        int own = settings.placement().priority(lengthClass);
        for (LengthClass each : LengthClass.values()) {
            work += settings.placement().priority(each) <= own ? prefillBacklogTokens(each) : 0;
        }
        return work;
    }

    /** Predicted milliseconds until the engine would begin the prefill of a new prompt of the class. */
    public long waitMillis(LengthClass lengthClass) {
        return Math.round(workAhead(lengthClass) * MILLIS_PER_SECOND / prefillTokensPerSecond());
    }

    /** Predicted milliseconds until the first token of a demand placed here now. */
    public long firstTokenMillis(Demand demand) {
        return Math.round(predictor.secondsToFirstToken(demand, this) * MILLIS_PER_SECOND);
    }

    /** Prompt tokens placed here whose first answer token has not come; a segment counts once its prefill has begun. */
    public long pendingPrefillTokens(LengthClass lengthClass) {
        return pendingPrefillTokens[lengthClass.ordinal()];
    }

    @Override
    public BackendServerId id() {
        return announcement.id();
    }

    @Override
    public long capacityKvTokens() {
        return announcement.capacityKvTokens();
    }

    @Override
    public long reservedKvTokens() {
        return grantedKvTokens + unregisteredKvTokens;
    }

    @Override
    public long prefillBacklogTokens() {
        long sum = 0;
        for (LengthClass each : LengthClass.values()) {
            sum += prefillBacklogTokens(each);
        }
        return sum;
    }

    @Override
    public long prefillBacklogTokens(LengthClass lengthClass) {
        return (long) Math.ceil(backlog.remainingTokens(lengthClass, clockNanos));
    }

    @Override
    public int openStreams() {
        return entries.size();
    }

    @Override
    public int openStreams(LengthClass lengthClass) {
        return openStreamsByClass[lengthClass.ordinal()];
    }

    @Override
    public double prefillTokensPerSecond() {
        return Math.max(MIN_TOKENS_PER_SECOND, Math.min(backlog.tokensPerSecond(clockNanos), maxTokensPerSecond));
    }

    @Override
    public int cachedTokens(Demand demand) {
        int leading = prefixes.leadingBlocks(demand.prefixHashes());
        return (int) Math.min((long) leading * settings.blockTokens(), demand.promptTokens() - 1L);
    }

    /** Whether the first block of a prompt is estimated to be in the engine's cache. */
    public boolean cachesBlock(long blockHash) {
        return prefixes.leadingBlocks(List.of(blockHash)) == 1;
    }

    /** First blocks of the prompts most recently read here, newest first. */
    public List<Long> recentFirstBlocks(int limit) {
        return prefixes.recentFirstBlocks(limit);
    }

    Grant grant(AttemptId attempt) {
        LedgerEntry entry = entries.get(attempt);
        return entry == null ? null : entry.grant();
    }

    private void startPrefill(LedgerEntry entry, long now) {
        clockNanos = now;
        double work = (double) workAhead(entry.lengthClass()) + entry.cost();
        entry.setPrefill(
                backlog.recordPlacement(entry.lengthClass(), entry.cost(), work / prefillTokensPerSecond(), now));
        pendingPrefillTokens[entry.lengthClass().ordinal()] += entry.grant().promptTokens();
        placedWork += entry.cost();
    }

    private static long announcedTokensPerSecond(Announcement announcement) {
        long announced = announcement.prefillTokensPerSecond();
        return announced > 0 ? announced : DEFAULT_TOKENS_PER_SECOND;
    }

    /**
     * Excludes a faulty engine for a time: one that refuses each attempt at once has no backlog and would otherwise
     * attract all work. The time doubles with each consecutive fault, up to a limit.
     */
    private void startCooldown(long now) {
        int doublings = Math.min(consecutiveFaults, MAX_COOLDOWN_DOUBLINGS);
        cooldownUntilNanos = now + (INITIAL_COOLDOWN_NANOS << doublings);
        consecutiveFaults++;
    }
}
