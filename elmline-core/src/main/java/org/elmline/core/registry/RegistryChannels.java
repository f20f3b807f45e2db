package org.elmline.core.registry;

import org.elmline.core.peer.Channel;

/** The calls that control hosts answer for the registry and the routing table. */
public final class RegistryChannels {
    /** Polls for changes. */
    public static final Channel<FollowRequest, FollowAnswer> FOLLOW =
            new Channel<>("registry.follow", FollowRequest.class, FollowAnswer.class);

    /**
     * Fetches the routing document that a control host holds, which need not be the latest; for entries of earlier
     * releases.
     */
    public static final Channel<RoutingQuery, RoutingText> FETCH_ROUTING =
            new Channel<>("routing.fetch", RoutingQuery.class, RoutingText.class);

    /** Fetches the same document in compressed form. */
    public static final Channel<RoutingQuery, PackedRouting> FETCH_PACKED =
            new Channel<>("routing.fetch.packed", RoutingQuery.class, PackedRouting.class);

    /** Reads the latest routing document; answered by the leader only. */
    public static final Channel<RoutingQuery, RoutingText> READ_ROUTING =
            new Channel<>("routing.read", RoutingQuery.class, RoutingText.class);

    /** Submits a routing document; answered by the leader only. */
    public static final Channel<RoutingSubmission, RoutingSubmitResult> SUBMIT_ROUTING =
            new Channel<>("routing.submit", RoutingSubmission.class, RoutingSubmitResult.class);

    private RegistryChannels() {}

    /** Requests the routing document. */
    public record RoutingQuery() {}

    /**
     * A routing document.
     *
     * @param known false when this host cannot determine the document
     * @param version -1 when there is no document yet
     */
    public record RoutingText(boolean known, long version, String text) {
        public static final RoutingText UNKNOWN = new RoutingText(false, -1, null);
        public static final RoutingText NONE = new RoutingText(true, -1, null);

        public RoutingText {
            if (version >= 0 && text == null) {
                throw new IllegalArgumentException("a routing document needs its text");
            }
        }
    }

    /** Submits a valid document, to be put in force under its version. */
    public record RoutingSubmission(long version, String text) {}

    /** The outcome of a submission. */
    public enum RoutingSubmitResult {
        /** The document is in force or was before. */
        ACCEPTED,
        /** A document of this or a higher version is in force; nothing was changed. */
        OVERTAKEN,
        /** This host is not the leader; nothing was changed. */
        NOT_LEADER,
        /** The outcome is unknown: the document may or may not take effect. */
        UNKNOWN
    }
}
