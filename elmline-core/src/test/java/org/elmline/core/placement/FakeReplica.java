package org.elmline.core.placement;

import java.util.Random;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;

/** A replica with fixed ledger values. */
record FakeReplica(
        BackendServerId id, long capacity, long reserved, long[] backlog, int[] streams, double rate, int cached)
        implements Replica {
    static FakeReplica idle(String id) {
        return new FakeReplica(BackendServerId.of(id), 450_000, 0, new long[4], new int[4], 27_000, 0);
    }

    static FakeReplica random(String id, Random random) {
        long[] backlog = new long[4];
        int[] streams = new int[4];
        for (int i = 0; i < backlog.length; i++) {
            backlog[i] = random.nextBoolean() ? random.nextInt(100_000) : 0;
            streams[i] = random.nextInt(20);
        }
        int reserved = random.nextInt(450_001);
        return new FakeReplica(
                BackendServerId.of(id),
                450_000,
                reserved,
                backlog,
                streams,
                1_000 + random.nextInt(30_000),
                random.nextInt(900));
    }

    FakeReplica withBacklog(LengthClass lengthClass, long tokens) {
        long[] changed = backlog.clone();
        changed[lengthClass.ordinal()] = tokens;
        return new FakeReplica(id, capacity, reserved, changed, streams, rate, cached);
    }

    FakeReplica withCached(int tokens) {
        return new FakeReplica(id, capacity, reserved, backlog, streams, rate, tokens);
    }

    @Override
    public long capacityKvTokens() {
        return capacity;
    }

    @Override
    public long reservedKvTokens() {
        return reserved;
    }

    @Override
    public long prefillBacklogTokens() {
        return backlog[0] + backlog[1] + backlog[2] + backlog[3];
    }

    @Override
    public long prefillBacklogTokens(LengthClass lengthClass) {
        return backlog[lengthClass.ordinal()];
    }

    @Override
    public int openStreams() {
        return streams[0] + streams[1] + streams[2] + streams[3];
    }

    @Override
    public int openStreams(LengthClass lengthClass) {
        return streams[lengthClass.ordinal()];
    }

    @Override
    public double prefillTokensPerSecond() {
        return rate;
    }

    @Override
    public int cachedTokens(Demand demand) {
        return Math.min(cached, demand.promptTokens() - 1);
    }
}
