package org.elmline.wire.codec;

/** The outcome of reading bytes that another process wrote. */
public sealed interface Decoded<T> {
    /** The bytes held a value of the type. */
    record Value<T>(T value) implements Decoded<T> {}

    /** The bytes held no such value; {@code why} names the place and is fit to be shown to the sender. */
    record Malformed<T>(String reason) implements Decoded<T> {}
}
