package org.elmline.daemon.gateway;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.dispatch.SendRestrictions;

/** Why a request is sent to a backend server, and whether the server's restrictions allow it. */
enum RequestPurpose {
    /** A call, or a reservation for one. */
    NEW_WORK {
        @Override
        boolean tryPass(SendRestrictions restrictions, BackendServerId server, long bornMillis, long now) {
            return restrictions.allows(server, bornMillis, now);
        }

        @Override
        boolean mustStillBeAllowed() {
            return true;
        }
    },
    /** Keeps or ends what a call already uses on the server. */
    RUNNING_WORK {
        @Override
        boolean tryPass(SendRestrictions restrictions, BackendServerId server, long bornMillis, long now) {
            return restrictions.tryEssential(server, bornMillis, now);
        }

        @Override
        boolean mustStillBeAllowed() {
            return false;
        }
    };

    /** Whether a request may be sent now; counts one that may. */
    abstract boolean tryPass(SendRestrictions restrictions, BackendServerId server, long bornMillis, long now);

    /** Whether a request that has passed is withheld when the server is restricted before it is sent. */
    abstract boolean mustStillBeAllowed();
}
