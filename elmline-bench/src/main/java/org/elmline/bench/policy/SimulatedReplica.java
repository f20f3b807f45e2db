package org.elmline.bench.policy;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PrefillBacklog;
import org.elmline.core.placement.Replica;
import org.elmline.standin.model.EngineProfile;

/** Exact state of one engine, as read by placement policies. Not thread-safe. */
final class SimulatedReplica implements Replica {
    private final BackendServerId id;
    private final EngineProfile profile;
    private final DelayedCacheView cache;
    private final PrefillBacklog backlog;
    private final int[] streamsByClass = new int[LengthClass.values().length];
    private long reservedTokens;
    private long nowNanos;

    SimulatedReplica(int index, EngineProfile profile, long seed, long nowNanos) {
        backlog = new PrefillBacklog(profile.prefillTokensPerSecond(), nowNanos);
        this.nowNanos = nowNanos;
        id = BackendServerId.of("engine-" + index);
        this.profile = profile;
        cache = new DelayedCacheView(seed + index);
    }

    void advanceTo(long nanos) {
        nowNanos = nanos;
    }

    DelayedCacheView cache() {
        return cache;
    }

    PrefillBacklog backlog() {
        return backlog;
    }

    void reserve(LengthClass lengthClass, long kvTokens) {
        reservedTokens += kvTokens;
        streamsByClass[lengthClass.ordinal()]++;
    }

    void release(LengthClass lengthClass, long kvTokens) {
        reservedTokens -= kvTokens;
        streamsByClass[lengthClass.ordinal()]--;
    }

    @Override
    public BackendServerId id() {
        return id;
    }

    @Override
    public long capacityKvTokens() {
        return profile.capacityKvTokens();
    }

    @Override
    public long reservedKvTokens() {
        return reservedTokens;
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
        return (long) backlog.remainingTokens(lengthClass, nowNanos);
    }

    @Override
    public int openStreams() {
        int sum = 0;
        for (int each : streamsByClass) {
            sum += each;
        }
        return sum;
    }

    @Override
    public int openStreams(LengthClass lengthClass) {
        return streamsByClass[lengthClass.ordinal()];
    }

    @Override
    public double prefillTokensPerSecond() {
        return backlog.tokensPerSecond(nowNanos);
    }

    @Override
    public int cachedTokens(Demand demand) {
        int blocks = cache.leadingBlocks(demand.prefixHashes(), nowNanos);
        return Math.min(demand.promptTokens() - 1, blocks * profile.blockTokens());
    }
}
