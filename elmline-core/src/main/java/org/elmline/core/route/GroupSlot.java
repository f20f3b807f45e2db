package org.elmline.core.route;

import org.elmline.core.common.HostId;

/** One engine of an owner that could take a segment, as its summary lets one guess. */
public record GroupSlot(HostId owner, long freeKvTokens, double tokensPerSecond) {}
