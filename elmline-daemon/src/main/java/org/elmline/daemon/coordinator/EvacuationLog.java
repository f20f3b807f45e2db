package org.elmline.daemon.coordinator;

import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;

import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.ControlState;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationOrder;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationOutcome;
import org.elmline.core.evacuation.EvacuationChannels.EvacuationReading;
import org.elmline.core.evacuation.Evacuations;
import org.elmline.daemon.control.ControlStateMachine;
import org.elmline.daemon.raft.ProposeResult;
import org.elmline.daemon.raft.RaftDriver;
import org.elmline.daemon.raft.ReadResult;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** The evacuations in the replicated state. Thread-safe. */
final class EvacuationLog implements EvacuationDecider {
    private final RaftDriver driver;
    private final ControlStateMachine machine;
    private final LongSupplier wallMillis;

    /** @param wallMillis the wall clock that the leader writes into its commands, in milliseconds since 1970 */
    EvacuationLog(RaftDriver driver, ControlStateMachine machine, LongSupplier wallMillis) {
        this.driver = driver;
        this.machine = machine;
        this.wallMillis = wallMillis;
    }

    @Override
    public CompletableFuture<EvacuationOutcome> set(EvacuationOrder order) {
        if (!driver.isLeader()) {
            return CompletableFuture.completedFuture(EvacuationOutcome.NOT_LEADER);
        }
        byte[] command = Codecs.MESSAGE_PACK.encode(new Command.SetEvacuation(
                order.domain(), order.evacuated(), order.expectedChange(), wallMillis.getAsLong(), order.acceptedBy()));
        return driver.propose(command).thenApply(EvacuationLog::outcome);
    }

    private static EvacuationOutcome outcome(ProposeResult result) {
        if (result instanceof ProposeResult.Committed committed) {
            Decoded<CommandResult> decoded = Codecs.MESSAGE_PACK.decode(committed.result(), CommandResult.class);
            CommandResult applied = ((Decoded.Value<CommandResult>) decoded).value();
            boolean changed = ((CommandResult.EvacuationDecided) applied).changed();
            return changed ? EvacuationOutcome.IN_FORCE : EvacuationOutcome.OVERTAKEN;
        }
        return result instanceof ProposeResult.Unknown ? EvacuationOutcome.UNKNOWN : EvacuationOutcome.NOT_LEADER;
    }

    @Override
    public CompletableFuture<EvacuationReading> read() {
        return driver.readIndex()
                .thenApply(result -> result instanceof ReadResult.Readable
                        ? new EvacuationReading(true, current())
                        : EvacuationReading.UNKNOWN);
    }

    /** Returns the evacuations that this host has applied, which may be stale. */
    Evacuations current() {
        return machine.read(ControlState::evacuations);
    }

    /** Returns the version of {@link #current()}. */
    long currentVersion() {
        return machine.read(ControlState::evacuationVersion);
    }
}
