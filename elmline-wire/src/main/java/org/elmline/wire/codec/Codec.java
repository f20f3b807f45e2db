package org.elmline.wire.codec;

/** Encodes typed values as bytes and decodes them. Safe for use by many threads. */
public interface Codec {
    /** Encodes a value; throws {@link IllegalStateException} for a type that the format can't represent. */
    byte[] encode(Object value);

    /** Decodes a value of the given type; bytes that hold no such value give {@link Decoded.Malformed}. */
    <T> Decoded<T> decode(byte[] bytes, Class<T> type);
}
