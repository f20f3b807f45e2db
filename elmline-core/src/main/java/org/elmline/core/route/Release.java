package org.elmline.core.route;

import org.elmline.core.common.AttemptId;

/** An entry gives one grant back. Repeating it changes nothing more. */
public record Release(AttemptId attempt, ReleaseCause cause) {}
