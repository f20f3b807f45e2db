package org.elmline.core.control;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * A host whose membership is over.
 *
 * @param incarnation its last one; a process of a lower one never joins again
 * @param version members version that ended it
 */
public record EndedHost(HostId id, Incarnation incarnation, long version) {}
