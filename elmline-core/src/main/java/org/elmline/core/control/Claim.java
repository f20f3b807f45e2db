package org.elmline.core.control;

/**
 * A claim as replicated.
 *
 * @param answer the recorded answer, null unless {@code state} is RECORDED
 */
public record Claim(ClaimKey key, String requestDigest, ClaimOwner owner, ClaimState state, RecordedAnswer answer) {}
