package org.elmline.wire.codec;

import java.util.Arrays;

import com.fasterxml.jackson.core.StreamReadConstraints;
import org.msgpack.core.MessagePack.Code;

/**
 * Checks the lengths in a MessagePack message before another codec decodes it. The library allocates the memory for a
 * text as soon as it has read its length, so that five bytes that state two gigabytes end a process with an {@link
 * OutOfMemoryError}. After a key that is no text it takes values for lengths, too.
 */
final class MessagePackCodec implements Codec {
    private static final int INITIAL_DEPTH = 16;

    /** The same bound as for JSON. Each level costs the library memory, and a message may have one for each byte. */
    private static final int MAX_DEPTH = StreamReadConstraints.DEFAULT_MAX_DEPTH;

    private static final int FIX_STR_MASK = 0x1f;
    private static final int FIX_CONTAINER_MASK = 0x0f;

    /** Bytes of the values of fixed length, by their code, and of texts whose length is in the code; 0 for others. */
    private static final byte[] FIXED_BYTES = new byte[256];

    private static final int CODE_MASK = 0xff;

    private final Codec codec;

    static {
        for (int code = 0; code < FIXED_BYTES.length; code++) {
            FIXED_BYTES[code] = (byte) fixedBytes((byte) code);
        }
    }

    MessagePackCodec(Codec codec) {
        this.codec = codec;
    }

    @Override
    public byte[] encode(Object value) {
        return codec.encode(value);
    }

    @Override
    public <T> Decoded<T> decode(byte[] bytes, Class<T> type) {
        return isComplete(bytes) ? codec.decode(bytes, type) : new Decoded.Malformed<>("not a complete message");
    }

    private static int fixedBytes(byte code) {
        if (Code.isFixedArray(code) || Code.isFixedMap(code)) {
            return 0;
        }
        if (Code.isFixedRaw(code)) {
            return 1 + (code & FIX_STR_MASK);
        }
        return switch (code) {
            case Code.ARRAY16, Code.ARRAY32, Code.MAP16, Code.MAP32 -> 0;
            case Code.STR8, Code.STR16, Code.STR32, Code.BIN8, Code.BIN16, Code.BIN32 -> 0;
            case Code.EXT8, Code.EXT16, Code.EXT32 -> 0;
            case Code.UINT8, Code.INT8 -> 1 + Byte.BYTES;
            case Code.UINT16, Code.INT16 -> 1 + Short.BYTES;
            case Code.UINT32, Code.INT32, Code.FLOAT32 -> 1 + Integer.BYTES;
            case Code.UINT64, Code.INT64, Code.FLOAT64 -> 1 + Long.BYTES;
            case Code.FIXEXT1 -> 2 + Byte.BYTES;
            case Code.FIXEXT2 -> 2 + Short.BYTES;
            case Code.FIXEXT4 -> 2 + Integer.BYTES;
            case Code.FIXEXT8 -> 2 + Long.BYTES;
            case Code.FIXEXT16 -> 2 + 2 * Long.BYTES;
            default -> 1;
        };
    }

    /** Reads the headers of containers and of long texts in one message. */
    private static final class Headers {
        private final byte[] bytes;

        /** Position after the last header, and after the content of a text; beyond the message if it is cut off. */
        private long end;

        Headers(byte[] bytes) {
            this.bytes = bytes;
        }

        /** Reads the header at a position. Returns the number of values that the container holds, 0 for a text. */
        long read(int at) {
            byte code = bytes[at];
            end = at + 1L;
            if (Code.isFixedArray(code)) {
                return code & FIX_CONTAINER_MASK;
            }
            if (Code.isFixedMap(code)) {
                return 2L * (code & FIX_CONTAINER_MASK);
            }
            return switch (code) {
                case Code.ARRAY16 -> length(Short.BYTES);
                case Code.ARRAY32 -> length(Integer.BYTES);
                case Code.MAP16 -> 2 * length(Short.BYTES);
                case Code.MAP32 -> 2 * length(Integer.BYTES);
                case Code.STR8, Code.BIN8 -> skip(length(Byte.BYTES));
                case Code.STR16, Code.BIN16 -> skip(length(Short.BYTES));
                case Code.STR32, Code.BIN32 -> skip(length(Integer.BYTES));
                case Code.EXT8 -> skip(length(Byte.BYTES) + 1);
                case Code.EXT16 -> skip(length(Short.BYTES) + 1);
                default -> skip(length(Integer.BYTES) + 1);
            };
        }

        private long length(int size) {
            int from = (int) end;
            end += size;
            long value = 0;
            for (int i = from; i < end && i < bytes.length; i++) {
                value = value << Byte.SIZE | bytes[i] & CODE_MASK;
            }
            return value;
        }

        private long skip(long length) {
            end += length;
            return 0;
        }
    }

    /**
     * Whether the bytes begin with a complete value whose maps have texts as keys. Done for every message before it is
     * decoded, so the length of most values is looked up, and the position is a local variable.
     */
    private static boolean isComplete(byte[] bytes) {
        Headers headers = new Headers(bytes);
        // Of the open containers around the current one: values that are left, and whether they are maps.
        long[] left = new long[INITIAL_DEPTH];
        boolean[] maps = new boolean[INITIAL_DEPTH];
        int depth = 0;
        long values = 1;
        boolean map = false;
        int at = 0;
        while (true) {
            while (values == 0) {
                if (depth == 0) {
                    return true;
                }
                depth--;
                values = left[depth];
                map = maps[depth];
            }
            // In a map, an even number of values is left before each key.
            if (at >= bytes.length || (map && (values & 1) == 0 && !isText(bytes[at]))) {
                return false;
            }
            values--;
            int fixed = FIXED_BYTES[bytes[at] & CODE_MASK];
            if (fixed > 0) {
                at += fixed;
                if (at > bytes.length) {
                    return false;
                }
                continue;
            }
            boolean isMap = isMap(bytes[at]);
            long children = headers.read(at);
            if (headers.end > bytes.length || children > bytes.length - headers.end) {
                return false;
            }
            at = (int) headers.end;
            if (children == 0) {
                continue;
            }
            if (depth + 1 == MAX_DEPTH) {
                return false;
            }
            left = depth == left.length ? Arrays.copyOf(left, 2 * depth) : left;
            maps = depth == maps.length ? Arrays.copyOf(maps, 2 * depth) : maps;
            left[depth] = values;
            maps[depth++] = map;
            values = children;
            map = isMap;
        }
    }

    private static boolean isText(byte code) {
        return Code.isFixedRaw(code) || code == Code.STR8 || code == Code.STR16 || code == Code.STR32;
    }

    private static boolean isMap(byte code) {
        return Code.isFixedMap(code) || code == Code.MAP16 || code == Code.MAP32;
    }
}
