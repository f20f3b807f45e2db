package org.elmline.core.quarantine;

import org.elmline.core.quarantine.CrashEvidence.Support;

/**
 * How much must speak against a group of parts: servers that ended, and different requests under which they did. Two
 * servers that end in a row may be the servers' own fault, and one request may be at fault itself.
 */
enum Threshold {
    SUSPECT(3, 2),
    /** For parts that answers went on with before: they may crash a new version of a model. */
    SUSPECT_LIKELY_SOUND(5, 3),
    /** For a part of a group that is known already. */
    SUSPECT_AGAIN(2, 2),
    QUARANTINE(4, 3),
    /** While no answer of the service goes on at all, and for parts that answers went on with before. */
    QUARANTINE_LIKELY_SOUND(7, 5),
    /** For a whole request: one that lost two servers to other causes is rare, and has a trial at once. */
    SUSPECT_REQUEST(2, 1),
    QUARANTINE_REQUEST(3, 1);

    private final int servers;
    private final int requests;

    Threshold(int servers, int requests) {
        this.servers = servers;
        this.requests = requests;
    }

    static Threshold toSuspect(boolean likelySound) {
        return likelySound ? SUSPECT_LIKELY_SOUND : SUSPECT;
    }

    static Threshold toQuarantine(boolean likelySound) {
        return likelySound ? QUARANTINE_LIKELY_SOUND : QUARANTINE;
    }

    int servers() {
        return servers;
    }

    boolean isReachedBy(Support support) {
        return isReachedBy(support, 0);
    }

    /** @param moreServers servers that are needed in addition */
    boolean isReachedBy(Support support, int moreServers) {
        return support.servers() >= servers + moreServers && support.requests() >= requests;
    }
}
