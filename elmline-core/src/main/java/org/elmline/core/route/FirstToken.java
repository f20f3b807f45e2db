package org.elmline.core.route;

import org.elmline.core.common.AttemptId;

/**
 * The engine sent an attempt's first token {@code millisSinceStart} milliseconds after the entry started the attempt.
 */
public record FirstToken(AttemptId attempt, long millisSinceStart) {}
