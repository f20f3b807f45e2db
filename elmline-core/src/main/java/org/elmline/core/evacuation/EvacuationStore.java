package org.elmline.core.evacuation;

import java.util.ArrayList;
import java.util.TreeMap;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;

/**
 * The evacuations in the replicated state. Each change is a compare-and-set on the number of the failure domain's
 * previous change: an order carries no id and its sender repeats it at other control hosts, so a delayed copy of an
 * order would otherwise undo a later one that was acknowledged. Not safe for concurrent use.
 */
public final class EvacuationStore {
    private final TreeMap<FailureDomain, EvacuationRecord> records = new TreeMap<>();
    private long version;

    /** @param from the state to restore; null in a snapshot of an earlier release, which stands for none */
    public EvacuationStore(Evacuations from) {
        if (from != null) {
            from.records().forEach(each -> records.put(each.domain(), each));
            version = from.version();
        }
    }

    /**
     * Sets the state of a failure domain if its latest change has the expected number, and else nothing. A state that
     * is set again gets a new number, but keeps its time and its accepting host.
     *
     * @param expectedChange number of the failure domain's latest change as the sender of the order read it, 0 for none
     * @return whether the state was set
     */
    public boolean set(
            FailureDomain domain, boolean evacuated, long expectedChange, long wallMillis, HostId acceptedBy) {
        EvacuationRecord current = records.get(domain);
        long currentChange = current == null ? 0 : current.change();
        if (currentChange != expectedChange) {
            return false;
        }
        version++;
        boolean again = current != null && current.evacuated() == evacuated;
        records.put(
                domain,
                new EvacuationRecord(
                        domain,
                        evacuated,
                        version,
                        again ? current.wallMillis() : wallMillis,
                        again ? current.acceptedBy() : acceptedBy));
        return true;
    }

    /** Returns a copy of the state, with the records in the order of their failure domains. */
    public Evacuations evacuations() {
        return version == 0 ? Evacuations.NONE : new Evacuations(version, new ArrayList<>(records.values()));
    }

    /** Number of the latest change of any failure domain; 0 before the first one. */
    public long version() {
        return version;
    }
}
