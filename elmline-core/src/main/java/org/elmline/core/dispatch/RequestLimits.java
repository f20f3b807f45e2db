package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.BackendServerId;

/** Keeps what the servers of one dispatcher are sent within the limits that they name. */
final class RequestLimits {
    private final ServerLimits named;
    private final ServerAccounts accounts;
    private int entries = 1;
    private int sharedBy = 1;
    private long keptVersion = -1;

    RequestLimits(ServerLimits named, ServerAccounts accounts) {
        this.named = named;
        this.accounts = accounts;
    }

    void entries(int count) {
        entries = Math.max(1, count);
    }

    void serversChanged() {
        keptVersion = -1;
    }

    void learn(BackendServerId server, ServerLimit limit, long now) {
        named.learn(server, limit, now);
    }

    /**
     * Takes up what has changed.
     *
     * @param alone whether all entries send on this dispatcher's word only; else each keeps to its part of a limit
     */
    void keep(boolean alone, long now) {
        int parts = alone ? 1 : entries;
        if (keptVersion != named.version() || sharedBy != parts) {
            keptVersion = named.version();
            sharedBy = parts;
            accounts.limit(named, parts, now);
        }
    }

    /**
     * Servers that may be sent one more request now. A long prompt is read by many servers and has orders beside it, so it
     * is kept from those in need as long as there are others.
     */
    List<ServerAccount> within(List<ServerAccount> usable, boolean isLong, long now) {
        if (named.isEmpty()) {
            return usable;
        }
        List<ServerAccount> within = new ArrayList<>(usable.size());
        List<ServerAccount> unlimited = new ArrayList<>(usable.size());
        for (ServerAccount each : usable) {
            if (!each.requests().isLimited()) {
                unlimited.add(each);
            }
            if (each.requests().allows(now)) {
                within.add(each);
            }
        }
        return isLong && !unlimited.isEmpty() ? unlimited : within;
    }

    /** Milliseconds until the limits let one more be sent after so many; 0 where a server names none. */
    double waitMillis(List<ServerAccount> usable, int ahead, long now) {
        if (named.isEmpty()) {
            return 0;
        }
        double perMilli = 0;
        double first = Double.MAX_VALUE;
        for (ServerAccount each : usable) {
            perMilli += each.requests().perMilli();
            first = Math.min(first, each.requests().waitMillis(now));
        }
        return first + ahead / perMilli;
    }
}
