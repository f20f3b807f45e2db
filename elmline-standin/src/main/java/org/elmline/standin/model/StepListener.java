package org.elmline.standin.model;

/** Hears what the engine's steps bring, in order of time. */
public interface StepListener {
    /** Answer token number {@code index} of this sequence was generated. */
    void onToken(long id, int index, long atNanos);

    /** The sequence is complete; it holds its memory until released. */
    void onFinished(long id, long atNanos);
}
