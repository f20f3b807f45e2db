package org.elmline.core.route;

import org.elmline.core.common.AttemptId;

/** Returns one grant to its owner. Idempotent. */
public record Release(AttemptId attempt, ReleaseCause cause) {}
