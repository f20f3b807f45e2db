package org.elmline.core.route;

import org.elmline.core.backend.AnnounceAnswer;
import org.elmline.core.backend.Announcement;
import org.elmline.core.fairness.ShareAnswer;
import org.elmline.core.fairness.ShareRequest;
import org.elmline.core.peer.Channel;

/** The calls between a gateway entry and an owner entry. */
public final class RouteChannels {
    /** Gateway to owner; answered when the owner has decided, at the request's deadline at the latest. */
    public static final Channel<PlaceRequest, OwnerPlaceAnswer> PLACE =
            new Channel<>("route.place", PlaceRequest.class, OwnerPlaceAnswer.class);

    /** Gateway to owner: segments begun, first tokens and releases. */
    public static final Channel<GrantReport, GrantReportAnswer> RELEASE =
            new Channel<>("route.release", GrantReport.class, GrantReportAnswer.class);

    /** Owner to every entry. */
    public static final Channel<OwnerSummary, SummaryAnswer> SUMMARY =
            new Channel<>("route.summary", OwnerSummary.class, SummaryAnswer.class);

    /** From the entry that a backend server announced itself to, to the server's owner. */
    public static final Channel<Announcement, AnnounceAnswer> ANNOUNCE =
            new Channel<>("route.announce", Announcement.class, AnnounceAnswer.class);

    /** Gateway to a new owner. */
    public static final Channel<RegisterGrants, RegisterAnswer> REGISTER =
            new Channel<>("route.register", RegisterGrants.class, RegisterAnswer.class);

    /** Owner to the entry for which an engine holds a stream or an export without a grant. */
    public static final Channel<AuditRequest, AuditAnswer> AUDIT =
            new Channel<>("route.audit", AuditRequest.class, AuditAnswer.class);

    /** Gateway to the entry that splits an organisation's limits, see {@link Ownership#limitSplitter}. */
    public static final Channel<ShareRequest, ShareAnswer> LIMIT_SHARE =
            new Channel<>("route.limit-share", ShareRequest.class, ShareAnswer.class);

    private RouteChannels() {}
}
