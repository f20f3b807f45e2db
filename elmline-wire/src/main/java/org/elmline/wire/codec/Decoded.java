package org.elmline.wire.codec;

/** Result of decoding bytes from another process. */
public sealed interface Decoded<T> {
    /** The bytes held a value of the type. */
    record Value<T>(T value) implements Decoded<T> {}

    /** The bytes held no such value; {@code reason} names the path of the error and may be shown to the sender. */
    record Malformed<T>(String reason) implements Decoded<T> {}
}
