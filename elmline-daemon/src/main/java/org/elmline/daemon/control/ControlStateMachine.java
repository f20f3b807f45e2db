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
 * Guards the replicated state: one lock for the applying thread and for all readers. The lock is held for short steps
 * only and no other lock is taken under it.
 */
public final class ControlStateMachine implements StateMachine {
    private static final Codec CODEC = Codecs.MESSAGE_PACK;

    private ControlState state = new ControlState();
    private BiConsumer<Command, CommandResult> onApplied = (command, result) -> {};

    /**
     * Called with each command under the lock, so that what the listener records comes before everything that a reader
     * can do with the command's effect. The listener must not wait or take a lock.
     */
    public synchronized void onApplied(BiConsumer<Command, CommandResult> listener) {
        onApplied = listener;
    }

    /** Applies a committed command and returns its encoded {@link CommandResult}. */
    @Override
    public synchronized byte[] apply(long index, byte[] command) {
        Command read = read(command, Command.class);
        CommandResult result = state.apply(index, read);
        onApplied.accept(read, result);
        return CODEC.encode(result);
    }

    @Override
    public synchronized byte[] snapshot() {
        return CODEC.encode(state.snapshot());
    }

    @Override
    public synchronized void restore(byte[] snapshot) {
        state = ControlState.restore(read(snapshot, ControlSnapshot.class));
    }

    /** Reads the state under the lock. */
    public synchronized <T> T read(Function<ControlState, T> reader) {
        return reader.apply(state);
    }

    /** A command or snapshot that can't be read is a broken invariant: going on would let this replica diverge. */
    private static <T> T read(byte[] bytes, Class<T> type) {
        if (CODEC.decode(bytes, type) instanceof Decoded.Value<T> value) {
            return value.value();
        }
        throw new IllegalStateException("a committed " + type.getSimpleName() + " can't be read");
    }
}
