package org.elmline.daemon.gateway;

/** Why a request is sent to a backend server. */
enum RequestPurpose {
    /** A call, or a reservation for one. */
    NEW_WORK,
    /** Keeps or ends what a call already uses on the server. */
    RUNNING_WORK
}
