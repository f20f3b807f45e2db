package org.elmline.daemon.gateway;

import org.elmline.core.common.HostId;
import org.elmline.core.path.RelayChoice;

/** Why an entry did not forward a request of another entry. In all cases no byte of it has left the entry. */
enum RelayRefusal {
    /** It has no path to the server itself, or it stops. */
    NO_PATH {
        @Override
        void record(RelayChoice relays, HostId relay, long now) {
            relays.recordUnfit(relay, now);
        }
    },
    /** It could not connect to the server, and reaches another one of the service. */
    UNREACHABLE {
        @Override
        void record(RelayChoice relays, HostId relay, long now) {
            // A statement about the server, not about the entry.
        }
    },
    /** It forwards as many requests as it may. */
    BUSY {
        @Override
        void record(RelayChoice relays, HostId relay, long now) {
            relays.recordBusy(relay, now);
        }
    },
    /** The server accepts no such request from it now. */
    WITHHELD {
        @Override
        void record(RelayChoice relays, HostId relay, long now) {
            // Holds for this server only.
        }
    };

    /** The refusal of this name; {@link #NO_PATH} for one that only a later release knows. */
    static RelayRefusal of(String name) {
        for (RelayRefusal each : values()) {
            if (each.name().equals(name)) {
                return each;
            }
        }
        return NO_PATH;
    }

    /** Records in which cases the entry is not to be chosen for a while. */
    abstract void record(RelayChoice relays, HostId relay, long now);
}
