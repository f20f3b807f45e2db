package org.elmline.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;

import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.Command;
import org.elmline.core.control.ControlSnapshot;
import org.elmline.core.control.ControlState;
import org.elmline.wire.codec.Codecs;

/** Memory of the state, and time and bytes of its snapshots. */
public final class StateCostExperiment {
    private static final int COPIES = 10;
    private static final int COLLECTIONS = 3;

    private final ControlSamples samples = new ControlSamples();

    /** Heap bytes of a state of this many objects, each with one ticket record. */
    public Spread objectHeapBytes(int objects) {
        return heapBytes(() -> samples.stateOf(objects));
    }

    /** Heap bytes of a state with this many claims, each with a recorded answer. */
    public Spread claimHeapBytes(int claims) {
        return heapBytes(() -> withClaims(claims));
    }

    /** Microseconds to take and encode a snapshot of this many objects. */
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
            ControlState.restore(Decoding.require(bytes, ControlSnapshot.class));
            return (System.nanoTime() - begin) / 1e3;
        });
    }

    public int snapshotBytes(int objects) {
        return Codecs.MESSAGE_PACK.encode(samples.stateOf(objects).snapshot()).length;
    }

    public int claimSnapshotBytes(int claims) {
        return Codecs.MESSAGE_PACK.encode(withClaims(claims).snapshot()).length;
    }

    /** As a restored state holds them, with no text shared between claims but what decoding shares. */
    private ControlState withClaims(int claims) {
        ControlState state = new ControlState();
        List<ClaimBegin> begins = samples.begins(claims);
        state.apply(1, new Command.BeginClaims(ControlSamples.WALL_MILLIS, begins));
        state.apply(
                2,
                new Command.FinishClaims(
                        ControlSamples.WALL_MILLIS,
                        begins.stream().map(ControlSamples::finish).toList()));
        return ControlState.restore(
                Decoding.require(Codecs.MESSAGE_PACK.encode(state.snapshot()), ControlSnapshot.class));
    }

    private static Spread heapBytes(Supplier<ControlState> maker) {
        return Spread.of(() -> {
                    List<ControlState> kept = new ArrayList<>(COPIES);
                    long before = usedBytes();
                    for (int i = 0; i < COPIES; i++) {
                        kept.add(maker.get());
                    }
                    long after = usedBytes();
                    return kept.size() == COPIES ? after - before : 0;
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
