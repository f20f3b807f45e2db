package org.elmline.core.control;

/**
 * A live host in the replicated state.
 *
 * @param version members version that set this record
 */
public record Member(HostRecord host, long version) {}
