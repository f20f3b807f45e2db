package org.elmline.core.control;

/**
 * A claim in the replicated state: which session may send the call of one idempotency key.
 *
 * @param requestDigest SHA-256 of method, target and body
 * @param answer the recorded answer, null unless {@code state} is RECORDED
 */
public record Claim(ClaimKey key, String requestDigest, ClaimOwner owner, ClaimState state, RecordedAnswer answer) {}
