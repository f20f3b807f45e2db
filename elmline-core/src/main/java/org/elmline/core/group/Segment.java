package org.elmline.core.group;

import org.elmline.core.common.HostId;

/**
 * One engine's part of a prompt.
 *
 * @param owner owner to ask for the engine
 * @param contextTokens prompt tokens in the segments before
 * @param extraKvTokens memory beyond the segment's own: imports, and for the last one the answer
 */
public record Segment(HostId owner, int promptTokens, int contextTokens, int extraKvTokens) {}
