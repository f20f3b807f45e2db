package org.elmline.core.control;

/**
 * An owner's word on how its claimed call ended.
 *
 * @param answer the service's answer; null when the owner knows that it never sent the call, so that a later try may
 *     run. An owner that doesn't know sends no finish at all
 */
public record ClaimFinish(ClaimKey key, ClaimOwner owner, RecordedAnswer answer) {}
