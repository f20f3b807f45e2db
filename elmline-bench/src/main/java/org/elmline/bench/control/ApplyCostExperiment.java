package org.elmline.bench.control;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.control.ClaimBegin;
import org.elmline.core.control.ClaimFinish;
import org.elmline.core.control.Command;
import org.elmline.core.control.ControlState;
import org.elmline.wire.codec.Codecs;

/** Measures the time that a control host spends on commands: decoding the log entry and applying it. */
public final class ApplyCostExperiment {
    private static final int TICKETS = 200;
    private static final int CLAIMS = 2_000;

    private final ControlSamples samples = new ControlSamples();

    /** Microseconds per ticket on a state of this many objects. */
    public Spread ticketMicros(int objects) {
        byte[] snapshot = Codecs.MESSAGE_PACK.encode(samples.stateOf(objects).snapshot());
        return Spread.of(() -> {
            ControlState state = Decoding.restore(snapshot);
            List<byte[]> log = new ArrayList<>();
            for (int i = 0; i < TICKETS; i++) {
                log.add(Codecs.MESSAGE_PACK.encode(samples.objectTicket(objects + i + 1L, 1 + i % (objects - 1))));
            }
            return replayMicros(state, log) / TICKETS;
        });
    }

    /** Microseconds per claim begun and finished, in commands of this many claims. */
    public Spread claimMicros(int batch) {
        return Spread.of(() -> {
            List<byte[]> log = new ArrayList<>();
            List<ClaimBegin> begins = samples.claimBegins(CLAIMS);
            for (int i = 0; i < CLAIMS; i += batch) {
                List<ClaimBegin> part = begins.subList(i, Math.min(CLAIMS, i + batch));
                List<ClaimFinish> finishes =
                        part.stream().map(ControlSamples::claimFinish).toList();
                log.add(Codecs.MESSAGE_PACK.encode(new Command.BeginClaims(ControlSamples.WALL_MILLIS, part)));
                log.add(Codecs.MESSAGE_PACK.encode(new Command.FinishClaims(ControlSamples.WALL_MILLIS, finishes)));
            }
            return replayMicros(new ControlState(), log) / CLAIMS;
        });
    }

    /** Log bytes per claim begun and finished, in commands of this many claims. */
    public double claimLogBytes(int batch) {
        List<ClaimBegin> begins = samples.claimBegins(batch);
        List<ClaimFinish> finishes =
                begins.stream().map(ControlSamples::claimFinish).toList();
        int bytes = Codecs.MESSAGE_PACK.encode(new Command.BeginClaims(ControlSamples.WALL_MILLIS, begins)).length
                + Codecs.MESSAGE_PACK.encode(new Command.FinishClaims(ControlSamples.WALL_MILLIS, finishes)).length;
        return (double) bytes / batch;
    }

    /** Log bytes of a ticket on one backend role. */
    public int ticketLogBytes() {
        return Codecs.MESSAGE_PACK.encode(samples.objectTicket(1, ControlSamples.ROLE_OBJECT_INDEX)).length;
    }

    private static double replayMicros(ControlState state, List<byte[]> log) {
        long begin = System.nanoTime();
        for (byte[] each : log) {
            state.apply(state.index() + 1, Decoding.decode(each, Command.class));
        }
        return (System.nanoTime() - begin) / 1e3;
    }
}
