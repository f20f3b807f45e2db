package org.elmline.core.control;

/**
 * An owner's report of how its claimed call ended.
 *
 * @param answer the service's answer; null when the owner certainly never sent the call, so that a later attempt may
 *     run. An owner that can't rule out that the call was sent sends no finish at all
 */
public record ClaimFinish(ClaimKey key, ClaimOwner owner, RecordedAnswer answer) {
    public ClaimFinish {
        if (key == null || owner == null) {
            throw new IllegalArgumentException("the end of a claim needs key and owner");
        }
    }
}
