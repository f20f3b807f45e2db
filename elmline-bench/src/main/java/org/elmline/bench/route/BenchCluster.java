package org.elmline.bench.route;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.backend.Announcement;
import org.elmline.core.backend.BackendKind;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.Region;
import org.elmline.core.control.HostRecord;

/** Records of hosts and engines, spread evenly over failure domains. */
final class BenchCluster {
    static final ModelName MODEL = ModelName.of("elm-small");
    private static final long CAPACITY_KV_TOKENS = 4_000_000;
    private static final long PREFILL_TOKENS_PER_SECOND = 10_000;
    private static final Address ADDRESS = new Address("10.1.2.3", 9_000);

    private BenchCluster() {}

    static List<HostRecord> hosts(int count, int domains) {
        List<HostRecord> hosts = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            hosts.add(host(i, domains));
        }
        return hosts;
    }

    static HostRecord host(int number, int domains) {
        return new HostRecord(
                HostId.of("host-" + number),
                Incarnation.of(1),
                domain(number, domains),
                Region.of("region-" + number % domains / 2),
                ADDRESS,
                ADDRESS,
                ADDRESS,
                false);
    }

    static Announcement engine(int number, int domains) {
        return new Announcement(
                BackendServerId.of("engine-" + number),
                Incarnation.of(1),
                BackendKind.ENGINE,
                "standin",
                ADDRESS,
                domain(number, domains),
                Region.of("region-" + number % domains / 2),
                List.of(MODEL.value()),
                List.of("1"),
                List.of(),
                "",
                CAPACITY_KV_TOKENS,
                PREFILL_TOKENS_PER_SECOND,
                null,
                false,
                false);
    }

    private static FailureDomain domain(int number, int domains) {
        return FailureDomain.of("domain-" + number % domains);
    }
}
