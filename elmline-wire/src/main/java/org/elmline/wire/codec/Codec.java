package org.elmline.wire.codec;

/** One way to write typed values as bytes and read them back. */
public interface Codec {
    byte[] encode(Object value);

    /** Reads a value of the given type. */
    <T> Decoded<T> decode(byte[] bytes, Class<T> type);
}
