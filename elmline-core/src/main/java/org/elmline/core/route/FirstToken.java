package org.elmline.core.route;

import org.elmline.core.common.AttemptId;

/** The engine's first token of an attempt came, this many milliseconds after the entry started it. */
public record FirstToken(AttemptId attempt, long millisSinceStart) {}
