package org.elmline.bench.policy;

import java.util.List;

/**
 * Decides on which engines the jobs of a run are computed, and keeps account of it. The run tells what happens on the
 * engines; times are those of its clock.
 */
interface Scheduler {
    /** A job's place, one for each segment of its prompt; no place when it is refused for good. */
    record Decision(Job job, List<Job.PlacedSegment> segments) {}

    /** Takes in a job that has no place, whether it is new or was lost with an engine. */
    void submit(Job job, long now);

    /** What became known since the last call; to be called after every event. */
    List<Decision> takeDecisions(long now);

    /** Called ten times a second. */
    void tick(long now);

    /** A job that waits for a place has come to its limit. */
    void cancel(Job job, long now);

    /** A segment's turn to be prefilled has come. */
    void prefillStarted(Job.PlacedSegment placed, long now);

    /** The prefill is done; further calls for the same place do nothing. */
    void prefillFinished(Job.PlacedSegment placed, long now);

    /** The engine holds nothing for this place any more, or is gone with it. */
    void released(Job.PlacedSegment placed, boolean engineLost, long now);

    void engineStarted(int engine, long now);

    void engineStopped(int engine, long now);

    void cacheChanged(int engine, long hash, boolean stored, long atNanos);

    /** KV tokens reserved over all engines. */
    long reservedTokens();
}
