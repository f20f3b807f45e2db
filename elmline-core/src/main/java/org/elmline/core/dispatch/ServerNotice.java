package org.elmline.core.dispatch;

/**
 * What a backend server states about itself in an answer.
 *
 * @param limit requests that it accepts from all entries together; null if the value is malformed
 * @param leaving whether it accepts no new requests until it has started anew
 * @param backoffMillis milliseconds for which it accepts no requests from the entry that receives the answer; 0 if none
 *     is requested, negative if the value is malformed
 */
public record ServerNotice(ServerRateLimit limit, boolean leaving, long backoffMillis) {
    public static final ServerNotice NONE = new ServerNotice(ServerRateLimit.NONE, false, 0);
}
