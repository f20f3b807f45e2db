package org.elmline.core.route;

import org.elmline.core.common.HostId;

/**
 * One engine that could take a segment, estimated from its owner's summary: free KV memory in tokens and prefill speed.
 */
public record GroupSlot(HostId owner, long freeKvTokens, double tokensPerSecond) {}
