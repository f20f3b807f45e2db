package org.elmline.core.control;

/**
 * Requests the right to send a call once.
 *
 * @param requestDigest SHA-256 of method, target and body; it detects one key used for two different calls
 */
public record ClaimBegin(ClaimKey key, String requestDigest, ClaimOwner owner) {
    public ClaimBegin {
        if (key == null || requestDigest == null || owner == null) {
            throw new IllegalArgumentException("a claim needs key, digest and owner");
        }
    }
}
