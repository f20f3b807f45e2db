package org.elmline.daemon.control;

import java.util.function.BiConsumer;
import java.util.function.Function;

import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.ControlSnapshot;
import org.elmline.core.control.ControlState;
import org.elmline.daemon.raft.StateMachine;
import org.elmline.wire.codec.Codec;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/**
 * The replicated control state behind one lock, which the applying thread and all readers share. The lock is held for
 * short steps only, and no other lock is acquired under it. Thread-safe.
 */
public final class ControlStateMachine implements StateMachine {
    private static final Codec CODEC = Codecs.REPLICATED_STATE;

    private ControlState state = new ControlState();
    private BiConsumer<Command, CommandResult> onApplied = (command, result) -> {};

    /**
     * Sets the listener that is called with each applied command under the lock, so that what it records precedes
     * everything that a reader can do with the command's effect. The listener must not block or acquire a lock.
     */
    public synchronized void onApplied(BiConsumer<Command, CommandResult> listener) {
        onApplied = listener;
    }

    /** Applies a committed command and returns its encoded {@link CommandResult}. */
    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        Command decoded = decode(command, Command.class);
        CommandResult result = state.apply(index, decoded);
        onApplied.accept(decoded, result);
        return CODEC.encode(result);
    }

    @Override
    public synchronized byte[] snapshot() {
        return CODEC.encode(state.snapshot());
    }

    @Override
    public synchronized void restore(byte[] snapshot) {
        state = ControlState.restore(decode(snapshot, ControlSnapshot.class));
    }

    /** Reads the state under the lock. */
    public synchronized <T> T read(Function<ControlState, T> reader) {
        return reader.apply(state);
    }

    /**
     * Decodes a command or snapshot. One that can't be decoded is a broken invariant: to skip it would let this replica
     * diverge from the others.
     */
    private static <T> T decode(byte[] bytes, Class<T> type) {
        if (CODEC.decode(bytes, type) instanceof Decoded.Value<T> value) {
            return value.value();
        }
        throw new IllegalStateException(
                "can't decode a committed " + type.getSimpleName() + " of " + bytes.length + " bytes");
    }
}
