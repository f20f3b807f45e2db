package org.elmline.core.dispatch;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.ServiceName;
import org.elmline.core.registry.Registration;
import org.elmline.core.registry.ServerState;

/** Registrations of servers for tests of dispatchers. */
final class TestServers {
    static final ServiceName SERVICE = ServiceName.of("desk");

    private TestServers() {}

    /** Registrations of so many servers of one service, s0 and on. */
    static List<Registration> servers(int count, int slots) {
        List<Registration> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Registration(
                    BackendServerId.of("s" + i),
                    SERVICE,
                    new Address("10.0.0." + (i + 1), 80),
                    FailureDomain.of("a"),
                    slots,
                    ServerState.READY,
                    1,
                    1));
        }
        return servers;
    }
}
