package org.elmline.core.registry;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests which entries callers are directed to, and when an expired entry is left out. */
class CallerDirectoryTest {
    private static final long SECOND = 1_000_000_000L;

    private final LiveEntries live = new LiveEntries();

    private int addressCount(String domain) {
        return addresses("r", domain).size();
    }

    private List<Address> addresses(String region, String domain) {
        return CallerDirectory.addresses(
                live.all(), Region.of(region), FailureDomain.of(domain), new SplittableRandom(1));
    }

    @Test
    void returnsServingEntriesNearestToCaller() {
        for (int i = 0; i < 4; i++) {
            live.renew(entry("near" + i, "a", true), SECOND);
        }
        live.renew(entry("stopping", "a", false), SECOND);
        live.renew(entry("far", "b", true), SECOND);
        assertEquals(4, addressCount("a"));
        assertEquals(5, addressCount("b"), "one entry in the failure domain is too few");
        assertEquals(
                5, addresses("another", "c").size(), "without an entry in the region, remote entries are returned");
        live.expire(2 * SECOND);
        assertEquals(0, addressCount("a"));
    }

    @Test
    void limitsAddressesInOneAnswer() {
        List<EntryRecord> entries = new ArrayList<>();
        for (int i = 0; i < 200; i++) {
            entries.add(entry("e" + i, "a", true));
        }
        List<Address> returned =
                CallerDirectory.addresses(entries, Region.of("r"), FailureDomain.of("a"), new SplittableRandom(1));
        assertTrue(returned.size() <= CallerDirectory.MAX_ADDRESSES, returned.size() + " addresses");
    }

    private static EntryRecord entry(String host, String domain, boolean serving) {
        return new EntryRecord(
                HostId.of(host),
                1,
                Address.parse("10.0.0.9:80"),
                Address.parse("10.0.0.9:7000"),
                FailureDomain.of(domain),
                Region.of("r"),
                serving);
    }
}
