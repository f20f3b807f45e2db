package org.elmline.core.registry;

import org.elmline.core.peer.Channel;

/** What control hosts answer on the matters of the registry and the routing table. */
public final class RegistryChannels {
    /** Polls for news. */
    public static final Channel<FollowRequest, FollowAnswer> FOLLOW =
            new Channel<>("registry.follow", FollowRequest.class, FollowAnswer.class);

    /** Fetches the routing document that a control host holds, be it the newest or not; for entries of earlier releases. */
    public static final Channel<RoutingQuery, RoutingText> FETCH_ROUTING =
            new Channel<>("routing.fetch", RoutingQuery.class, RoutingText.class);

    /** Fetches the same document packed. */
    public static final Channel<RoutingQuery, PackedRouting> FETCH_PACKED =
            new Channel<>("routing.fetch.packed", RoutingQuery.class, PackedRouting.class);

    /** Reads the newest routing document; answered by the leader only. */
    public static final Channel<RoutingQuery, RoutingText> READ_ROUTING =
            new Channel<>("routing.read", RoutingQuery.class, RoutingText.class);

    /** Submits a routing document; answered by the leader only. */
    public static final Channel<RoutingSubmission, RoutingSubmitResult> SUBMIT_ROUTING =
            new Channel<>("routing.submit", RoutingSubmission.class, RoutingSubmitResult.class);

    private RegistryChannels() {}

    /** Asks for the routing document. */
    public record RoutingQuery() {}

    /**
     * A routing document.
     *
     * @param known false when this host can't tell
     * @param version -1 when there is no document yet
     */
    public record RoutingText(boolean known, long version, String text) {
        public static final RoutingText UNKNOWN = new RoutingText(false, -1, null);
        public static final RoutingText NONE = new RoutingText(true, -1, null);
    }

    /** Carries a document that is valid, to be put in force under its version. */
    public record RoutingSubmission(long version, String text) {}

    /** What became of a document. */
    public enum RoutingSubmitResult {
        /** It is in force, or was before. */
        ACCEPTED,
        /** A document of this or a higher version is in force; nothing was changed. */
        OVERTAKEN,
        /** This host doesn't lead; nothing was changed. */
        NOT_LEADER,
        /** It may take effect or not. */
        UNKNOWN
    }
}
