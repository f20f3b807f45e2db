package org.elmline.core.registry;

import org.elmline.core.common.BackendServerId;

/** How long ago a control host heard a server itself, in milliseconds. */
public record HeartbeatAge(BackendServerId id, long bornMillis, long sequence, long ageMillis) {}
