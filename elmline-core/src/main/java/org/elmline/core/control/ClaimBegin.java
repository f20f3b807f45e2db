package org.elmline.core.control;

/**
 * Asks for the right to send a call once.
 *
 * @param requestDigest SHA-256 of method, target and body, so that one key can't stand for two calls
 */
public record ClaimBegin(ClaimKey key, String requestDigest, ClaimOwner owner) {}
