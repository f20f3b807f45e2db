package org.elmline.core.control;

import java.util.List;

import org.elmline.core.common.HostId;

/**
 * The change of the live entries between two versions.
 *
 * @param full true when {@code changed} is the whole list, because the recipient's version is too old or unknown
 */
public record MembersDelta(long from, long to, boolean full, List<HostRecord> changed, List<HostId> removed) {
    public MembersDelta {
        changed = List.copyOf(changed);
        removed = List.copyOf(removed);
    }
}
