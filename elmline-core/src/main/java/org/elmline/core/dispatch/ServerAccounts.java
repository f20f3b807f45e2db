package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.registry.Registration;
import org.elmline.core.routing.BatchTiming;

/** The accounts of the backend servers that a dispatcher places calls on. Not safe for concurrent use. */
final class ServerAccounts {
    private final Map<BackendServerId, ServerAccount> accounts = new LinkedHashMap<>();

    /** Takes the servers that may be used now; one that may not keeps its account while calls run on it. */
    void update(Collection<Registration> usable, BatchTiming timing, long now) {
        accounts.values().forEach(ServerAccount::absent);
        for (Registration each : usable) {
            ServerAccount account = accounts.get(each.id());
            if (account == null || account.registration().bornMillis() != each.bornMillis()) {
                accounts.put(each.id(), new ServerAccount(each, timing, now));
            } else {
                account.update(each, timing);
            }
        }
        accounts.values().removeIf(each -> !each.present() && each.idle());
    }

    /** Takes the limits in force; each is kept to by {@code sharedBy} dispatchers that don't know of each other. */
    void limit(ServerLimits limits, int sharedBy, long now) {
        for (ServerAccount each : accounts.values()) {
            each.requests().limit(limits.of(each.registration().id()), sharedBy, now);
        }
    }

    /** Null where the server isn't known. */
    ServerAccount of(BackendServerId id) {
        return accounts.get(id);
    }

    /**
     * Servers that a call may go to. Resting ones are left out unless that leaves less than a third: a fault of
     * something all calls share must not turn the whole service away.
     */
    List<ServerAccount> usable(Collection<BackendServerId> avoid, long now) {
        List<ServerAccount> awake = new ArrayList<>(accounts.size());
        List<ServerAccount> all = new ArrayList<>(accounts.size());
        for (ServerAccount each : accounts.values()) {
            if (!each.present() || avoid.contains(each.registration().id())) {
                continue;
            }
            all.add(each);
            if (!each.health().rests(now)) {
                awake.add(each);
            }
        }
        return 3 * awake.size() > all.size() ? awake : all;
    }
}
