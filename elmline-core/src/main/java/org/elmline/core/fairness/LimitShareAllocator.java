package org.elmline.core.fairness;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import org.elmline.core.common.HostId;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.config.Organisation;

/**
 * Splits organisations' limits among the entries that use them. Runs on one entry per organisation, selected by
 * rendezvous hashing. Shares are leases sized by recent use: what an entry holds counts against all others until it
 * renews with less or its lease ends, so the shares never sum to more than the limit.
 *
 * <p>Alternatives fail: a fixed split would refuse an organisation whose callers use few entries at a fraction of its
 * limit; shares computed by each entry from lagged reports can sum to several times the limit.
 *
 * <p>When another entry takes over, both may grant shares for one lease: at most twice the limit for that time. An
 * entry that cannot renew keeps its requests in flight, and may exceed its share by them. Thread-safe.
 */
public final class LimitShareAllocator {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final long leaseMillis;
    private final Map<OrganisationId, Map<HostId, GrantedShare>> shares = new HashMap<>();

    public LimitShareAllocator(long leaseMillis) {
        this.leaseMillis = leaseMillis;
    }

    /**
     * Grants or renews a share.
     *
     * @param entries number of live entries that may request a share
     * @param now nanoseconds on the monotonic clock
     */
    public synchronized ShareAnswer renew(Organisation organisation, ShareRequest request, int entries, long now) {
        Map<HostId, GrantedShare> held = shares.computeIfAbsent(organisation.id(), id -> new HashMap<>());
        held.values().removeIf(each -> now - each.expiresAtNanos >= 0);
        held.remove(request.host());
        GrantedShare share = new GrantedShare();
        share.wantedRequests = request.requests();
        share.wantedTokens = request.tokensPerMinute();
        share.expiresAtNanos = now + leaseMillis * NANOS_PER_MILLI;
        share.grantedRequests = allocate(
                entries,
                organisation.maxConcurrentRequests(),
                request.inFlight(),
                share.wantedRequests,
                held.values().stream().mapToLong(each -> each.wantedRequests).sum(),
                held.values().stream().mapToLong(each -> each.grantedRequests).sum());
        share.grantedTokens = allocate(
                entries,
                organisation.maxTokensPerMinute(),
                0,
                share.wantedTokens,
                held.values().stream().mapToLong(each -> each.wantedTokens).sum(),
                held.values().stream().mapToLong(each -> each.grantedTokens).sum());
        held.put(request.host(), share);
        return new ShareAnswer(organisation.id(), (int) share.grantedRequests, share.grantedTokens, leaseMillis);
    }

    /** Removes expired shares, so that inactive organisations take no memory. */
    public synchronized void expire(long now) {
        Iterator<Map<HostId, GrantedShare>> each = shares.values().iterator();
        while (each.hasNext()) {
            Map<HostId, GrantedShare> held = each.next();
            held.values().removeIf(share -> now - share.expiresAtNanos >= 0);
            if (held.isEmpty()) {
                each.remove();
            }
        }
    }

    public synchronized int organisationCount() {
        return shares.size();
    }

    /**
     * Grants the wanted amount and an even part of the remainder, or, while more is wanted than the limit, a part of
     * the limit in proportion to what is wanted; never more than the other shares leave. The first entry to request is
     * not granted the whole remainder: all others would refuse requests until that entry renews.
     */
    private static long allocate(
            int entries, long limit, long inUse, long wanted, long wantedByOthers, long heldByOthers) {
        long totalWanted = wanted + wantedByOthers;
        long fairShare = totalWanted <= limit
                ? wanted + (limit - totalWanted) / Math.max(1, entries)
                : (long) ((double) limit * wanted / totalWanted);
        // Requests in flight cannot be revoked, and a limit of few requests must be usable on whichever entry is
        // called.
        long minimum = Math.max(inUse, Math.min(1, limit));
        return Math.max(0, Math.min(Math.max(fairShare, minimum), limit - heldByOthers));
    }

    private static final class GrantedShare {
        private long wantedRequests;
        private long wantedTokens;
        private long grantedRequests;
        private long grantedTokens;
        private long expiresAtNanos;
    }
}
