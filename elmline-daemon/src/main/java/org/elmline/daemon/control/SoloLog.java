package org.elmline.daemon.control;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.elmline.core.common.Address;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** A log of one control host that keeps nothing: for trying things out, never for a deployment. */
final class SoloLog implements CommandLog {
    private static final long LEASE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final ControlMachine machine;
    private final Address self;
    private final MonotonicClock clock;
    private long index;

    SoloLog(ControlMachine machine, Address self, MonotonicClock clock) {
        this.machine = machine;
        this.self = self;
        this.clock = clock;
    }

    @Override
    public synchronized CompletableFuture<Proposed> propose(Command command) {
        index++;
        byte[] result = machine.apply(index, Codecs.MESSAGE_PACK.encode(command));
        Decoded<CommandResult> decoded = Codecs.MESSAGE_PACK.decode(result, CommandResult.class);
        return CompletableFuture.completedFuture(
                new Proposed.Applied(((Decoded.Value<CommandResult>) decoded).value()));
    }

    @Override
    public Standing standing() {
        return new Standing(true, 1, clock.nanos() + LEASE_NANOS, self, List.of(self));
    }

    @Override
    public void close() {}
}
