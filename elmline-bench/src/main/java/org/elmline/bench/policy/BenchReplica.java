package org.elmline.bench.policy;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.PrefillBacklog;
import org.elmline.core.placement.Replica;
import org.elmline.standin.model.EngineProfile;

/** An owner's exact account of one engine, as far as placement reads it. */
final class BenchReplica implements Replica {
    private final BackendServerId id;
    private final EngineProfile profile;
    private final CacheView cache;
    private final PrefillBacklog backlog;
    private final int[] streams = new int[LengthClass.values().length];
    private long reserved;
    private long nowNanos;

    BenchReplica(int index, EngineProfile profile, long seed, long nowNanos) {
        backlog = new PrefillBacklog(profile.prefillTokensPerSecond(), nowNanos);
        this.nowNanos = nowNanos;
        id = BackendServerId.of("engine-" + index);
        this.profile = profile;
        cache = new CacheView(seed + index);
    }

    void now(long nanos) {
        nowNanos = nanos;
    }

    CacheView cache() {
        return cache;
    }

    PrefillBacklog backlog() {
        return backlog;
    }

    void placed(LengthClass lengthClass, long kvTokens) {
        reserved += kvTokens;
        streams[lengthClass.ordinal()]++;
    }

    void released(LengthClass lengthClass, long kvTokens) {
        reserved -= kvTokens;
        streams[lengthClass.ordinal()]--;
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
        return reserved;
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
        return (long) backlog.tokens(lengthClass, nowNanos);
    }

    @Override
    public int openStreams() {
        int sum = 0;
        for (int each : streams) {
            sum += each;
        }
        return sum;
    }

    @Override
    public int openStreams(LengthClass lengthClass) {
        return streams[lengthClass.ordinal()];
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
