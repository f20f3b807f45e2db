package org.elmline.core.group;

import org.elmline.core.common.HostId;

/**
 * The part of a prompt that one engine holds. Immutable.
 *
 * @param owner owner of the engine
 * @param promptTokens prompt tokens of this segment
 * @param contextTokens prompt tokens of the preceding segments
 * @param extraKvTokens KV tokens in addition to the segment's own: imports and, for the last segment, the answer
 */
public record Segment(HostId owner, int promptTokens, int contextTokens, int extraKvTokens) {}
