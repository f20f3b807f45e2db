package org.elmline.daemon.gateway;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

import org.elmline.daemon.http.ByteChunks;
import org.elmline.daemon.http.IoThreadBodyReader;

/**
 * Receives the body of a request into the memory of its call, as long as there is room for it and a stop admits the
 * request. Used on the I/O thread only.
 */
final class BodyIntake implements IoThreadBodyReader.Receiver, OpenCall {
    private final CallMemory memory;
    private final StopRule stop;
    private final Consumer<ByteChunks> onBody;
    private final Consumer<IOException> onFailure;
    private final Runnable onFull;
    private IoThreadBodyReader reader;
    private boolean ended;

    /**
     * What a stop does with a request whose body has not arrived.
     *
     * @param openCalls contains the intake while it waits for its caller
     * @param isAdmitted whether the request could still be finished
     * @param onRefused run when it is not admitted any more
     */
    record StopRule(OpenCalls openCalls, BooleanSupplier isAdmitted, Runnable onRefused) {}

    private BodyIntake(
            CallMemory memory,
            StopRule stop,
            Consumer<ByteChunks> onBody,
            Consumer<IOException> onFailure,
            Runnable onFull) {
        this.memory = memory;
        this.stop = stop;
        this.onBody = onBody;
        this.onFailure = onFailure;
        this.onFull = onFull;
    }

    /**
     * Starts reading. One of the callbacks is run once, perhaps before this returns; the memory is released before all but
     * {@code onBody}.
     *
     * @param onFailure run when the body cannot be read
     * @param onFull run when there is no room for the body, or none is left while the caller sends nothing
     */
    static void read(
            CallMemory memory,
            StopRule stop,
            Consumer<ByteChunks> onBody,
            Consumer<IOException> onFailure,
            Runnable onFull) {
        new BodyIntake(memory, stop, onBody, onFailure, onFull).start();
    }

    private void start() {
        // Without a declared length, the body is refused when it exceeds the room.
        if (!memory.admitsBody(Math.max(0, memory.exchange().getRequestContentLength()))) {
            refuse(onFull);
            return;
        }
        memory.onEnded(() -> refuse(onFull));
        memory.waitForBody();
        IoThreadBodyReader started = IoThreadBodyReader.read(memory.exchange(), this);
        if (!ended) {
            reader = started;
            stop.openCalls().add(this);
            checkAdmission();
        }
    }

    @Override
    public boolean onBytes(ByteBuffer bytes) {
        memory.waitForBody();
        if (memory.tryAddToBody(bytes)) {
            return true;
        }
        refuse(onFull);
        return false;
    }

    @Override
    public void checkCaller() {
        // The HTTP server may close a connection by a time limit, of which the reader is not notified.
        if (!memory.exchange().getConnection().isOpen()) {
            reader.stop();
            onFailure(new ClosedChannelException());
        }
    }

    @Override
    public void checkQuarantine() {
        // Without its body, the prompt is unknown.
    }

    @Override
    public void checkAdmission() {
        if (!stop.isAdmitted().getAsBoolean()) {
            abort();
        }
    }

    @Override
    public void abort() {
        refuse(stop.onRefused());
    }

    private void refuse(Runnable answer) {
        if (tryEnd()) {
            if (reader != null) {
                reader.stop();
            }
            memory.close();
            answer.run();
        }
    }

    @Override
    public void onEnd() {
        if (tryEnd()) {
            memory.stopWaitingForBody();
            onBody.accept(memory.body());
        }
    }

    @Override
    public void onFailure(IOException failure) {
        if (tryEnd()) {
            memory.close();
            onFailure.accept(failure);
        }
    }

    private boolean tryEnd() {
        if (ended) {
            return false;
        }
        ended = true;
        stop.openCalls().remove(this);
        return true;
    }
}
