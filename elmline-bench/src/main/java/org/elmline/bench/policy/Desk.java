package org.elmline.bench.policy;

import java.util.List;

/**
 * Decides on which engines the jobs of a run are computed, and keeps account of it. The run tells what happens on the
 * engines; times are those of its clock.
 */
interface Desk {
    /** A job's place, one for each segment of its prompt; no place when it is refused for good. */
    record Decision(Job job, List<Job.Placed> placed) {}

    /** Takes in a job that has no place, whether it is new or was lost with an engine. */
    void arrive(Job job, long now);

    /** What became known since the last call; to be called after every event. */
    List<Decision> settle(long now);

    /** Called ten times a second. */
    void tick(long now);

    /** A job that waits for a place has come to its limit. */
    void withdraw(Job job, long now);

    /** A segment's turn to be prefilled has come. */
    void begun(Job.Placed placed, long now);

    /** The prefill is done; further calls for the same place do nothing. */
    void prefilled(Job.Placed placed, long now);

    /** The engine holds nothing for this place any more, or is gone with it. */
    void released(Job.Placed placed, boolean engineLost, long now);

    void engineUp(int engine, long now);

    void engineDown(int engine, long now);

    void cacheChanged(int engine, long hash, boolean stored, long atNanos);

    /** KV tokens reserved over all engines. */
    long reservedTokens();
}
