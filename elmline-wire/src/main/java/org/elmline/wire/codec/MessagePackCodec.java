package org.elmline.wire.codec;

import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.Arrays;

import com.fasterxml.jackson.core.StreamReadConstraints;
import org.msgpack.core.MessagePack.Code;

/**
 * Checks the lengths in a MessagePack message before another codec decodes it. The library allocates the memory for a
 * text as soon as it has read its length, so that five bytes that state two gigabytes end a process with an {@link
 * OutOfMemoryError}. After a key that is no text it takes values for lengths, too.
 */
final class MessagePackCodec implements Codec {
    private static final int MAX_UNSIGNED_BYTE = 0xff;
    private static final int MAX_UNSIGNED_SHORT = 0xffff;
    private static final long MAX_UNSIGNED_INT = 0xffff_ffffL;
    private static final int INITIAL_DEPTH = 16;

    /** The same bound as for JSON. Each level costs the library memory, and a message may have one for each byte. */
    private static final int MAX_DEPTH = StreamReadConstraints.DEFAULT_MAX_DEPTH;

    private static final int FIX_STR_MASK = 0x1f;
    private static final int FIX_CONTAINER_MASK = 0x0f;

    private final Codec codec;

    MessagePackCodec(Codec codec) {
        this.codec = codec;
    }

    @Override
    public byte[] encode(Object value) {
        return codec.encode(value);
    }

    @Override
    public <T> Decoded<T> decode(byte[] bytes, Class<T> type) {
        return isComplete(ByteBuffer.wrap(bytes))
                ? codec.decode(bytes, type)
                : new Decoded.Malformed<>("not a complete message");
    }

    /** Whether the buffer begins with a complete value whose maps have texts as keys. */
    private static boolean isComplete(ByteBuffer from) {
        try {
            // Values that are left in each open container; in a map, an even number is left before each key.
            long[] left = new long[INITIAL_DEPTH];
            boolean[] maps = new boolean[INITIAL_DEPTH];
            left[0] = 1;
            int depth = 0;
            while (depth >= 0) {
                if (left[depth] == 0) {
                    depth--;
                    continue;
                }
                byte code = from.get(from.position());
                if (maps[depth] && left[depth] % 2 == 0 && !isText(code)) {
                    return false;
                }
                left[depth]--;
                long children = readValue(from);
                if (children > from.remaining() || (children > 0 && ++depth == MAX_DEPTH)) {
                    return false;
                }
                if (children > 0) {
                    left = depth == left.length ? Arrays.copyOf(left, 2 * depth) : left;
                    maps = depth == maps.length ? Arrays.copyOf(maps, 2 * depth) : maps;
                    left[depth] = children;
                    maps[depth] = isMap(code);
                }
            }
            return true;
        } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
            return false;
        }
    }

    private static boolean isText(byte code) {
        return Code.isFixedRaw(code) || code == Code.STR8 || code == Code.STR16 || code == Code.STR32;
    }

    private static boolean isMap(byte code) {
        return Code.isFixedMap(code) || code == Code.MAP16 || code == Code.MAP32;
    }

    /** Reads one value, of a container only the header. Returns the number of values that the container holds. */
    private static long readValue(ByteBuffer from) {
        byte code = from.get();
        if (Code.isFixedArray(code)) {
            return code & FIX_CONTAINER_MASK;
        }
        if (Code.isFixedMap(code)) {
            return 2L * (code & FIX_CONTAINER_MASK);
        }
        if (Code.isFixedRaw(code)) {
            return skip(from, code & FIX_STR_MASK);
        }
        return switch (code) {
            case Code.ARRAY16 -> unsignedShort(from);
            case Code.ARRAY32 -> unsignedInt(from);
            case Code.MAP16 -> 2L * unsignedShort(from);
            case Code.MAP32 -> 2 * unsignedInt(from);
            case Code.STR8, Code.BIN8 -> skip(from, unsignedByte(from));
            case Code.STR16, Code.BIN16 -> skip(from, unsignedShort(from));
            case Code.STR32, Code.BIN32 -> skip(from, unsignedInt(from));
            case Code.EXT8 -> skip(from, unsignedByte(from) + 1L);
            case Code.EXT16 -> skip(from, unsignedShort(from) + 1L);
            case Code.EXT32 -> skip(from, unsignedInt(from) + 1);
            default -> skip(from, scalarBytes(code));
        };
    }

    /** Bytes after the code of a value of fixed length. */
    private static int scalarBytes(byte code) {
        return switch (code) {
            case Code.UINT8, Code.INT8 -> Byte.BYTES;
            case Code.UINT16, Code.INT16, Code.FIXEXT1 -> Short.BYTES;
            case Code.FIXEXT2 -> 1 + Short.BYTES;
            case Code.UINT32, Code.INT32, Code.FLOAT32 -> Integer.BYTES;
            case Code.FIXEXT4 -> 1 + Integer.BYTES;
            case Code.UINT64, Code.INT64, Code.FLOAT64 -> Long.BYTES;
            case Code.FIXEXT8 -> 1 + Long.BYTES;
            case Code.FIXEXT16 -> 1 + 2 * Long.BYTES;
            default -> 0;
        };
    }

    private static long skip(ByteBuffer from, long bytes) {
        if (bytes > from.remaining()) {
            throw new BufferUnderflowException();
        }
        from.position(from.position() + (int) bytes);
        return 0;
    }

    private static int unsignedByte(ByteBuffer from) {
        return from.get() & MAX_UNSIGNED_BYTE;
    }

    private static int unsignedShort(ByteBuffer from) {
        return from.getShort() & MAX_UNSIGNED_SHORT;
    }

    private static long unsignedInt(ByteBuffer from) {
        return from.getInt() & MAX_UNSIGNED_INT;
    }
}
