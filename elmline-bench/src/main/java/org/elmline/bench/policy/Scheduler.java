package org.elmline.bench.policy;

import java.util.List;

/**
 * Decides on which engines the jobs of a run are computed, and tracks their reservations. The simulation reports the
 * events of the engines; times are nanoseconds of its clock. Not thread-safe.
 */
interface Scheduler {
    /** Placement of a job, one for each segment of its prompt; empty when the job is refused for good. */
    record Decision(Job job, List<Job.PlacedSegment> segments) {}

    /** Accepts a job without a placement: a new one, or one that has lost an engine. */
    void submit(Job job, long now);

    /** Decisions made since the last call; must be called after every event. */
    List<Decision> takeDecisions(long now);

    /** Called ten times a second. */
    void tick(long now);

    /** Removes a job that has reached its time limit while waiting for a placement. */
    void cancel(Job job, long now);

    /** Called when a segment is about to be submitted to its engine. */
    void prefillStarted(Job.PlacedSegment placed, long now);

    /** Called when the prefill of a segment is complete; further calls for the same segment do nothing. */
    void prefillFinished(Job.PlacedSegment placed, long now);

    /** Called when the engine has freed the memory of a segment, or was lost with it. */
    void released(Job.PlacedSegment placed, boolean engineLost, long now);

    void engineStarted(int engine, long now);

    void engineStopped(int engine, long now);

    void cacheChanged(int engine, long hash, boolean stored, long atNanos);

    /** Amount reserved over all engines in a unit of the implementation; 0 only when nothing is reserved. */
    long reservedAmount();
}
