package org.elmline.core.fairness;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.config.Organisation;

/**
 * Enforces organisations' limits on one entry, within the shares that {@link LimitShareAllocator} grants it. A limit of
 * 0 means no limit and needs no share. Tokens are limited by a token bucket of ten seconds' worth of the share. One
 * request may overdraw the bucket, since otherwise a request larger than the bucket could never run: over any minute an
 * entry admits at most its share, the bucket and one request. Times are nanoseconds on the monotonic clock.
 * Thread-safe.
 */
public final class OrganisationLimits {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_MINUTE = 60e9;
    private static final double BUCKET_MINUTES = 1.0 / 6;
    private static final long MIN_SHARE_REQUEST_INTERVAL_NANOS = 100 * NANOS_PER_MILLI;
    private static final long IDLE_NANOS = 60_000 * NANOS_PER_MILLI;

    private final HostId host;
    private final Incarnation incarnation;
    private final Map<OrganisationId, Usage> usages = new HashMap<>();

    public OrganisationLimits(HostId host, Incarnation incarnation) {
        this.host = host;
        this.incarnation = incarnation;
    }

    /**
     * Admits a request or returns why not. Each admitted request must be released with {@link #release}.
     *
     * @param tokens tokens of its prompt and longest possible output
     */
    public synchronized LimitDecision admit(Organisation organisation, long tokens, long now) {
        boolean limitsRequests = organisation.maxConcurrentRequests() > 0;
        boolean limitsTokens = organisation.maxTokensPerMinute() > 0;
        Usage usage = usages.computeIfAbsent(organisation.id(), id -> new Usage(now));
        usage.refill(now);
        usage.lastUsedNanos = now;
        LimitDecision decision = LimitDecision.ADMITTED;
        if ((limitsRequests || limitsTokens) && now - usage.shareExpiresAtNanos >= 0) {
            decision = LimitDecision.NO_SHARE;
        } else if (limitsRequests && usage.inFlight >= usage.maxRequests) {
            decision = LimitDecision.TOO_MANY_REQUESTS;
        } else if (limitsTokens && usage.bucketTokens <= 0) {
            decision = LimitDecision.TOO_MANY_TOKENS;
        }
        // Shares lag behind use: refusing by an old share would refuse requests that are within the limit.
        if (decision != LimitDecision.ADMITTED
                && now - usage.lastShareRequestNanos >= MIN_SHARE_REQUEST_INTERVAL_NANOS) {
            decision = LimitDecision.NO_SHARE;
        }
        usage.record(decision, tokens);
        return decision;
    }

    /** Records the end of an admitted request, whatever its outcome. */
    public synchronized void release(OrganisationId organisation) {
        Usage usage = usages.get(organisation);
        if (usage == null || usage.inFlight == 0) {
            throw new IllegalStateException("organisation " + organisation + " has no request in flight");
        }
        usage.inFlight--;
    }

    /** Builds the request to {@link LimitShareAllocator} and restarts the measurement of use. */
    public synchronized ShareRequest shareRequest(OrganisationId organisation, long now) {
        Usage usage = usages.computeIfAbsent(organisation, id -> new Usage(now));
        long wantedTokens = usage.wantedTokensPerMinute(now);
        ShareRequest request = new ShareRequest(
                host,
                incarnation,
                organisation,
                usage.inFlight,
                usage.inFlight + usage.refusedRequests + 1,
                wantedTokens);
        usage.refusedRequests = 0;
        usage.requestedTokens = 0;
        usage.lastShareRequestNanos = now;
        return request;
    }

    /** Applies a granted share; its lease counts from the time at which the request was sent. */
    public synchronized void applyShare(ShareAnswer answer, long requestedAtNanos, long now) {
        Usage usage = usages.computeIfAbsent(answer.organisation(), id -> new Usage(requestedAtNanos));
        long expiresAtNanos = requestedAtNanos + answer.leaseMillis() * NANOS_PER_MILLI;
        usage.refill(now);
        usage.maxRequests = answer.maxRequests();
        if (!usage.hasReceivedShare) {
            usage.bucketTokens = answer.maxTokensPerMinute() * BUCKET_MINUTES;
            usage.hasReceivedShare = true;
        }
        usage.tokensPerMinute = answer.maxTokensPerMinute();
        usage.shareExpiresAtNanos = expiresAtNanos;
        usage.renewAtNanos = requestedAtNanos + (expiresAtNanos - requestedAtNanos) / 2;
    }

    /**
     * Organisations in use whose share should be renewed now, before its lease ends. Also removes the records of
     * organisations that have been idle for a minute.
     */
    public synchronized List<OrganisationId> dueRenewals(long now) {
        List<OrganisationId> dueOrganisations = new ArrayList<>();
        usages.values().removeIf(each -> each.inFlight == 0 && now - each.lastUsedNanos >= IDLE_NANOS);
        for (Map.Entry<OrganisationId, Usage> each : usages.entrySet()) {
            Usage usage = each.getValue();
            boolean inUse = usage.inFlight > 0 || usage.refusedRequests > 0 || usage.requestedTokens > 0;
            if (usage.hasReceivedShare && inUse && now - usage.renewAtNanos >= 0) {
                dueOrganisations.add(each.getKey());
            }
        }
        return dueOrganisations;
    }

    public synchronized int inFlight(OrganisationId organisation) {
        Usage usage = usages.get(organisation);
        return usage == null ? 0 : usage.inFlight;
    }

    private static final class Usage {
        private int inFlight;
        private int refusedRequests;
        private int maxRequests;
        private double bucketTokens;
        private long tokensPerMinute;
        private long requestedTokens;
        private long lastShareRequestNanos;
        private long shareExpiresAtNanos;
        private long renewAtNanos;
        private long lastRefillNanos;
        private long lastUsedNanos;
        private boolean hasReceivedShare;

        Usage(long now) {
            lastShareRequestNanos = now;
            lastRefillNanos = now;
            lastUsedNanos = now;
            shareExpiresAtNanos = now;
        }

        void refill(long now) {
            double minutes = (now - lastRefillNanos) / NANOS_PER_MINUTE;
            bucketTokens = Math.min(tokensPerMinute * BUCKET_MINUTES, bucketTokens + tokensPerMinute * minutes);
            lastRefillNanos = now;
        }

        void record(LimitDecision decision, long tokens) {
            requestedTokens += tokens;
            if (decision == LimitDecision.ADMITTED) {
                inFlight++;
                bucketTokens -= tokens;
            } else {
                refusedRequests++;
            }
        }

        long wantedTokensPerMinute(long now) {
            double minutes = Math.max(1.0 / 60, (now - lastShareRequestNanos) / NANOS_PER_MINUTE);
            return (long) Math.ceil(requestedTokens / minutes);
        }
    }
}
