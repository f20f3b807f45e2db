package org.elmline.core.control;

import org.junit.jupiter.api.Test;

import static java.util.concurrent.TimeUnit.MILLISECONDS;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class HostLeaseTest {
    private final HostLease lease = new HostLease();

    @Test
    void noLeaseBeforeTheFirstGrant() {
        assertFalse(lease.isValid(0));
    }

    // An entry requests a lease, is frozen for a minute with the grant already in its socket buffer, resumes and reads
    // the grant. Counted from the answer, the lease would look valid: the entry would serve callers under a
    // configuration that tickets have replaced, while the other hosts treat it as dead.
    @Test
    void leaseIsCountedFromTheRequestAlsoAfterAFreeze() {
        long requestedNanos = MILLISECONDS.toNanos(1_000);
        long resumedNanos = MILLISECONDS.toNanos(61_000);

        lease.recordGrant(requestedNanos, 4_000);

        assertTrue(lease.isValid(MILLISECONDS.toNanos(4_999)));
        assertFalse(lease.isValid(MILLISECONDS.toNanos(5_000)));
        assertFalse(lease.isValid(resumedNanos));
    }

    @Test
    void olderGrantDoesNotShortenALease() {
        lease.recordGrant(MILLISECONDS.toNanos(2_000), 4_000);
        lease.recordGrant(MILLISECONDS.toNanos(1_000), 4_000);

        assertTrue(lease.isValid(MILLISECONDS.toNanos(5_500)));
    }

    @Test
    void leaseIsCorrectWhenTheClockWrapsAround() {
        long requestedNanos = Long.MAX_VALUE - 10;

        lease.recordGrant(requestedNanos, 4_000);

        assertTrue(lease.isValid(requestedNanos + MILLISECONDS.toNanos(3_999)));
        assertFalse(lease.isValid(requestedNanos + MILLISECONDS.toNanos(4_000)));
    }

    @Test
    void replacedHostGetsNoFurtherLease() {
        lease.replaced();
        lease.recordGrant(0, 4_000);

        assertFalse(lease.isValid(1));
    }
}
