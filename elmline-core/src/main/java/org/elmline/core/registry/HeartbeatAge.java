package org.elmline.core.registry;

import org.elmline.core.common.BackendServerId;

/** How long ago a control host directly received a server's latest heartbeat, in milliseconds. */
public record HeartbeatAge(BackendServerId id, long bornMillis, long sequence, long ageMillis) {}
