package org.elmline.standin.model;

/** Receives the results of the engine model's steps in order of time, on the thread that advances the model. */
public interface StepListener {
    /** Answer token number {@code index} of this sequence was generated. */
    void onToken(long id, int index, long atNanos);

    /** The sequence is complete; it holds its memory until released. */
    void onFinished(long id, long atNanos);
}
