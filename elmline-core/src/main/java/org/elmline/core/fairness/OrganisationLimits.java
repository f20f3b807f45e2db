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
 * Holds organisations to their limits on one entry, within the shares that {@link LimitShares} grants it. A limit of 0 is
 * none and needs no share. Tokens run through a bucket of ten seconds' worth that a request may overdraw once, so that
 * one longer than the bucket can run at all: over any minute an entry admits at most its share, the bucket and one
 * request. All methods may be called from any thread.
 */
public final class OrganisationLimits {
    private static final long NANOS_PER_MILLI = 1_000_000L;
    private static final double NANOS_PER_MINUTE = 60e9;
    private static final double BUCKET_MINUTES = 1.0 / 6;
    private static final long ASK_AGAIN_NANOS = 100 * NANOS_PER_MILLI;
    private static final long IDLE_NANOS = 60_000 * NANOS_PER_MILLI;

    private final HostId host;
    private final Incarnation incarnation;
    private final Map<OrganisationId, Use> uses = new HashMap<>();

    public OrganisationLimits(HostId host, Incarnation incarnation) {
        this.host = host;
        this.incarnation = incarnation;
    }

    /**
     * Admits a request or says why not; each admitted one must be {@link #finished}.
     *
     * @param tokens its prompt and longest answer
     */
    public synchronized LimitAnswer admit(Organisation organisation, long tokens, long now) {
        boolean limitsRequests = organisation.maxConcurrentRequests() > 0;
        boolean limitsTokens = organisation.maxTokensPerMinute() > 0;
        Use use = uses.computeIfAbsent(organisation.id(), id -> new Use(now));
        use.pass(now);
        use.usedAt = now;
        LimitAnswer answer = LimitAnswer.ADMITTED;
        if ((limitsRequests || limitsTokens) && now - use.shareUntil >= 0) {
            answer = LimitAnswer.NO_SHARE;
        } else if (limitsRequests && use.inFlight >= use.maxRequests) {
            answer = LimitAnswer.TOO_MANY_REQUESTS;
        } else if (limitsTokens && use.balance <= 0) {
            answer = LimitAnswer.TOO_MANY_TOKENS;
        }
        // A share follows use with a lag; refusing by an old one would refuse what the limit has room for.
        if (answer != LimitAnswer.ADMITTED && now - use.askedSince >= ASK_AGAIN_NANOS) {
            answer = LimitAnswer.NO_SHARE;
        }
        use.note(answer, tokens);
        return answer;
    }

    /** An admitted request ended, however it did. */
    public synchronized void finished(OrganisationId organisation) {
        Use use = uses.get(organisation);
        if (use == null || use.inFlight == 0) {
            throw new IllegalStateException("organisation " + organisation + " has no request in flight");
        }
        use.inFlight--;
    }

    /** What to ask {@link LimitShares} for. */
    public synchronized ShareRequest shareRequest(OrganisationId organisation, long now) {
        Use use = uses.computeIfAbsent(organisation, id -> new Use(now));
        long wantedTokens = use.wantedTokensPerMinute(now);
        ShareRequest request = new ShareRequest(
                host, incarnation, organisation, use.inFlight, use.inFlight + use.refused + 1, wantedTokens);
        use.refused = 0;
        use.askedTokens = 0;
        use.askedSince = now;
        return request;
    }

    /** Takes a share in; its lease counts from {@code askedAt}, when the request was sent. */
    public synchronized void granted(ShareAnswer answer, long askedAt, long now) {
        Use use = uses.computeIfAbsent(answer.organisation(), id -> new Use(askedAt));
        long until = askedAt + answer.leaseMillis() * NANOS_PER_MILLI;
        use.pass(now);
        use.maxRequests = answer.maxRequests();
        if (!use.hadShare) {
            use.balance = answer.maxTokensPerMinute() * BUCKET_MINUTES;
            use.hadShare = true;
        }
        use.tokensPerMinute = answer.maxTokensPerMinute();
        use.shareUntil = until;
        use.renewAt = askedAt + (until - askedAt) / 2;
    }

    /** Organisations in use whose share should be renewed now, before it runs out. */
    public synchronized List<OrganisationId> renewals(long now) {
        List<OrganisationId> due = new ArrayList<>();
        uses.values().removeIf(each -> each.inFlight == 0 && now - each.usedAt >= IDLE_NANOS);
        for (Map.Entry<OrganisationId, Use> each : uses.entrySet()) {
            Use use = each.getValue();
            boolean inUse = use.inFlight > 0 || use.refused > 0 || use.askedTokens > 0;
            if (use.hadShare && inUse && now - use.renewAt >= 0) {
                due.add(each.getKey());
            }
        }
        return due;
    }

    public synchronized int inFlight(OrganisationId organisation) {
        Use use = uses.get(organisation);
        return use == null ? 0 : use.inFlight;
    }

    private static final class Use {
        private int inFlight;
        private int refused;
        private int maxRequests;
        private double balance;
        private long tokensPerMinute;
        private long askedTokens;
        private long askedSince;
        private long shareUntil;
        private long renewAt;
        private long passedAt;
        private long usedAt;
        private boolean hadShare;

        Use(long now) {
            askedSince = now;
            passedAt = now;
            usedAt = now;
            shareUntil = now;
        }

        void pass(long now) {
            double minutes = (now - passedAt) / NANOS_PER_MINUTE;
            balance = Math.min(tokensPerMinute * BUCKET_MINUTES, balance + tokensPerMinute * minutes);
            passedAt = now;
        }

        void note(LimitAnswer answer, long tokens) {
            askedTokens += tokens;
            if (answer == LimitAnswer.ADMITTED) {
                inFlight++;
                balance -= tokens;
            } else {
                refused++;
            }
        }

        long wantedTokensPerMinute(long now) {
            double minutes = Math.max(1.0 / 60, (now - askedSince) / NANOS_PER_MINUTE);
            return (long) Math.ceil(askedTokens / minutes);
        }
    }
}
