package org.elmline.core.memory;

/** What holds the bytes of one call. It measures them itself, so that an account can be rebuilt from the open calls. */
public interface MemoryHolder {
    /** Whether the call is open; the share of one that is not is removed when the account is rebuilt. */
    boolean isOpen();

    /** Bytes held for the body of the request. */
    long bodyBytes();

    /** Bytes held for the answer: buffered, or not accepted by the caller's socket yet. */
    long answerBytes();

    /** Drops all bytes: the call is not open any more and has not released its share. */
    void release();

    /** Ends the call, whose caller neither reads nor sends, for the memory that it holds. */
    void end(MemoryShare share);
}
