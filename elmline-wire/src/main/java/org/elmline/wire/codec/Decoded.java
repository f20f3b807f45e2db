package org.elmline.wire.codec;

/** Result of decoding bytes from another process. */
public sealed interface Decoded<T> {
    /** The bytes held a value of the type. */
    record Value<T>(T value) implements Decoded<T> {}

    /**
     * The bytes held no such value; {@code reason} describes the error, with its path where known, and may be shown to
     * the sender.
     */
    record Malformed<T>(String reason) implements Decoded<T> {}
}
