package org.elmline.core.engine;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** One stream that an engine holds memory for, with the entry that opened it. */
public record StreamInfo(AttemptId attempt, HostId host, Incarnation incarnation, long kvTokens) {}
