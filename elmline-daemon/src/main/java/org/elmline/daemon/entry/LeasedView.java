package org.elmline.daemon.entry;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import org.elmline.core.common.MonotonicClock;
import org.elmline.core.config.Configuration;
import org.elmline.core.control.HostLease;
import org.elmline.core.control.LeaseAnswer;

/**
 * The state that lease renewals keep up to date on this entry: the configuration, the live entries, and the lease
 * itself. Thread-safe for readers.
 */
public final class LeasedView {
    private final HostLease lease = new HostLease();
    private final MonotonicClock clock;
    private final List<Runnable> onMembers = new CopyOnWriteArrayList<>();
    private final List<Runnable> onRenewal = new CopyOnWriteArrayList<>();
    private volatile Configuration configuration = Configuration.EMPTY;
    private volatile MemberTable members = MemberTable.EMPTY;

    public LeasedView(MonotonicClock clock) {
        this.clock = clock;
    }

    public Configuration configuration() {
        return configuration;
    }

    public MemberTable members() {
        return members;
    }

    /** Whether this entry may admit work or send a claimed call now. */
    public boolean mayServe() {
        return lease.isValid(clock.nanos());
    }

    public long leaseRemainingNanos() {
        return lease.remainingNanos(clock.nanos());
    }

    /** Adds a listener that is called after each change of the live entries. */
    public void onMembers(Runnable listener) {
        onMembers.add(listener);
    }

    /** Adds a listener that is called after each renewal of the lease. */
    public void onRenewal(Runnable listener) {
        onRenewal.add(listener);
    }

    /** Returns the lease, which a claim session checks right before it sends. */
    public HostLease lease() {
        return lease;
    }

    void onGranted(long requestedNanos, LeaseAnswer.Granted granted) {
        configuration = configuration.with(granted.config());
        MemberTable before = members;
        members = before.with(granted.members());
        // The lease is renewed last, so that nothing is admitted under an older configuration than the one that came
        // with the grant.
        lease.recordGrant(requestedNanos, granted.leaseMillis());
        if (members != before) {
            onMembers.forEach(Runnable::run);
        }
        onRenewal.forEach(Runnable::run);
    }

    void onReplaced() {
        lease.replaced();
    }
}
