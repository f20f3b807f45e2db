package org.elmline.daemon.gateway;

/** A call that is not answered yet. */
interface OpenCall {
    /** Ends the call if the connection on which it came is closed. */
    void checkCaller();

    /** Ends the call if its prompt has been quarantined and no server has begun to answer it. */
    void checkQuarantine();

    /** Refuses the call if it has no place and is not admitted any more. */
    void checkAdmission();

    /** Ends the call because this process stops. */
    void abort();
}
