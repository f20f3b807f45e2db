package org.elmline.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;

import org.elmline.core.common.HostId;
import org.elmline.core.control.HostRecord;
import org.elmline.core.control.MembersDelta;

/** The live entries at one version of the membership. Immutable. */
public final class MemberTable {
    public static final MemberTable EMPTY = new MemberTable(0, new TreeMap<>());

    private final long version;
    private final TreeMap<HostId, HostRecord> hosts;

    private MemberTable(long version, TreeMap<HostId, HostRecord> hosts) {
        this.version = version;
        this.hosts = hosts;
    }

    public long version() {
        return version;
    }

    /** Returns the entries in the order of their ids. */
    public List<HostRecord> hosts() {
        return new ArrayList<>(hosts.values());
    }

    public Optional<HostRecord> host(HostId id) {
        return Optional.ofNullable(hosts.get(id));
    }

    /**
     * Returns this table with a delta applied. A delta that does not start at this version, or that ends at or before
     * it, changes nothing, unless it is full.
     */
    MemberTable with(MembersDelta delta) {
        boolean follows = delta.full() || delta.from() == version;
        if (!follows || (delta.to() <= version && !delta.full())) {
            return this;
        }
        TreeMap<HostId, HostRecord> next = delta.full() ? new TreeMap<>() : new TreeMap<>(hosts);
        delta.removed().forEach(next::remove);
        for (HostRecord each : delta.changed()) {
            next.put(each.id(), each);
        }
        return new MemberTable(delta.to(), next);
    }
}
