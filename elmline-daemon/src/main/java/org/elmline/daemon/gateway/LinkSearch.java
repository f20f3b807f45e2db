package org.elmline.daemon.gateway;

/** The search for a link for one request: yields one after the other until the request was sent over one. */
interface LinkSearch {
    /** Searches the next link, or the first one. */
    void next(Listener listener);

    /** The last link was one to an entry that refused to forward the request. */
    void onRefused(ServerLink link, RelayRefusal refusal);

    /** The request has failed on a link to an entry, or got no answer in time; the server may not be the cause. */
    void onRelayFailed(ServerLink link);

    /** Receives the result of a search. */
    interface Listener {
        void onLink(ServerLink link);

        /**
         * There is no further link.
         *
         * @param serverDown whether the server is the cause, as far as this entry can tell
         */
        void onNoLink(String why, boolean serverDown);
    }
}
