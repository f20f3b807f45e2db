package org.elmline.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import org.xnio.IoUtils;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.StreamSourceConduit;

/** A source of bytes that sees how many each read yields, in whichever way they are read. */
public abstract class CountedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {
    protected CountedSource(StreamSourceConduit next) {
        super(next);
    }

    /**
     * Called after each read.
     *
     * @param count bytes read, negative at the end
     * @throws IOException to fail the read
     */
    protected void onRead(long count) throws IOException {}

    /**
     * Called with the bytes of each read: those from an index of the buffer to its position.
     *
     * @throws IOException to fail the read
     */
    protected void onBytes(ByteBuffer buffer, int from) throws IOException {}

    @Override
    public final int read(ByteBuffer target) throws IOException {
        int from = target.position();
        int count = next.read(target);
        onRead(count);
        onBytes(target, from);
        return count;
    }

    @Override
    public final long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        int[] from = new int[length];
        for (int i = 0; i < length; i++) {
            from[i] = targets[offset + i].position();
        }
        long count = next.read(targets, offset, length);
        onRead(count);
        for (int i = 0; i < length; i++) {
            onBytes(targets[offset + i], from[i]);
        }
        return count;
    }

    /** Reads in parts, as the HTTP server does to drop a body that no handler reads. */
    @Override
    public final long transferTo(long position, long count, FileChannel target) throws IOException {
        return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
    }

    @Override
    public final long transferTo(long count, ByteBuffer through, StreamSinkChannel target) throws IOException {
        return IoUtils.transfer(new ConduitReadableByteChannel(this), count, through, target);
    }
}
