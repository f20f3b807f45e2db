package org.elmline.bench.control;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.Command;
import org.elmline.core.control.ControlState;
import org.elmline.wire.codec.Codecs;

/** Measures heap size of the control state, and time and size of its snapshots. */
public final class StateCostExperiment {
    private static final int COPIES = 5;
    private static final int COLLECTIONS = 2;

    private final ControlSamples samples = new ControlSamples();

    /** Heap bytes of a state of this many objects, each with one ticket record. */
    public Spread objectHeapBytes(int objects) {
        return heapBytes(samples.stateOf(objects));
    }

    /** Heap bytes of a state with this many claims, each with a recorded answer. */
    public Spread claimHeapBytes(int claims) {
        return heapBytes(withClaims(claims));
    }

    /** Microseconds to create and encode a snapshot of this many objects. */
    public Spread snapshotMicros(int objects) {
        ControlState state = samples.stateOf(objects);
        return Spread.of(() -> {
            long begin = System.nanoTime();
            Codecs.MESSAGE_PACK.encode(state.snapshot());
            return (System.nanoTime() - begin) / 1e3;
        });
    }

    /** Microseconds to decode a snapshot of this many objects and restore it. */
    public Spread restoreMicros(int objects) {
        byte[] bytes = Codecs.MESSAGE_PACK.encode(samples.stateOf(objects).snapshot());
        return Spread.of(() -> {
            long begin = System.nanoTime();
            Decoding.restore(bytes);
            return (System.nanoTime() - begin) / 1e3;
        });
    }

    public int snapshotBytes(int objects) {
        return Codecs.MESSAGE_PACK.encode(samples.stateOf(objects).snapshot()).length;
    }

    public int claimSnapshotBytes(int claims) {
        return Codecs.MESSAGE_PACK.encode(withClaims(claims).snapshot()).length;
    }

    private ControlState withClaims(int claims) {
        ControlState state = new ControlState();
        List<ClaimBegin> begins = samples.claimBegins(claims);
        state.apply(1, new Command.BeginClaims(ControlSamples.WALL_MILLIS, begins));
        state.apply(
                2,
                new Command.FinishClaims(
                        ControlSamples.WALL_MILLIS,
                        begins.stream().map(ControlSamples::claimFinish).toList()));
        return state;
    }

    /** Each copy is restored from bytes, so that none shares its objects with another. */
    private static Spread heapBytes(ControlState state) {
        byte[] bytes = Codecs.MESSAGE_PACK.encode(state.snapshot());
        return Spread.of(() -> {
                    List<ControlState> kept = new ArrayList<>(COPIES);
                    long before = usedBytes();
                    for (int i = 0; i < COPIES; i++) {
                        kept.add(Decoding.restore(bytes));
                    }
                    long after = usedBytes();
                    kept.clear();
                    return after - before;
                })
                .dividedBy(COPIES);
    }

    private static long usedBytes() {
        for (int i = 0; i < COLLECTIONS; i++) {
            System.gc();
        }
        Runtime runtime = Runtime.getRuntime();
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
