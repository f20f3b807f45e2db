package org.elmline.core.engine;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** An exported KV segment; it holds {@code tokens} of its engine's memory until freed. */
public record KvExport(String id, AttemptId attempt, HostId host, Incarnation incarnation, long tokens) {}
