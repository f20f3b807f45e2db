package org.elmline.core.evacuation;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.peer.Channel;

/** The calls that control hosts answer for evacuations. */
public final class EvacuationChannels {
    /** Reads the latest evacuations; answered by the leader only. */
    public static final Channel<EvacuationQuery, EvacuationReading> READ =
            new Channel<>("evacuation.read", EvacuationQuery.class, EvacuationReading.class);

    /** Proposes a change of one failure domain; answered by the leader only. */
    public static final Channel<EvacuationOrder, EvacuationOutcome> SET =
            new Channel<>("evacuation.set", EvacuationOrder.class, EvacuationOutcome.class);

    /**
     * Fetches the evacuations that a control host holds, without delay; for entries that were suspended. They need not
     * be the latest where the answer is not known to be confirmed.
     */
    public static final Channel<EvacuationQuery, EvacuationReading> FETCH =
            new Channel<>("evacuation.fetch", EvacuationQuery.class, EvacuationReading.class);

    private EvacuationChannels() {}

    /** Requests the evacuations. */
    public record EvacuationQuery() {}

    /**
     * The evacuations that a control host holds.
     *
     * @param known whether a leader confirms that they are the latest; evacuations may be null otherwise
     */
    public record EvacuationReading(boolean known, Evacuations evacuations) {
        public static final EvacuationReading UNKNOWN = new EvacuationReading(false, null);

        public EvacuationReading {
            if (known && evacuations == null) {
                throw new IllegalArgumentException("a confirmed reading needs evacuations");
            }
        }
    }

    /**
     * Changes a failure domain unless it was changed since it was read.
     *
     * @param expectedChange number of the failure domain's latest change when it was read, 0 for none
     * @param acceptedBy the control host that received the order
     */
    public record EvacuationOrder(FailureDomain domain, boolean evacuated, long expectedChange, HostId acceptedBy) {
        public EvacuationOrder {
            if (domain == null) {
                throw new IllegalArgumentException("an order needs its failure domain");
            }
        }
    }

    /** The outcome of a proposed change. */
    public enum EvacuationOutcome {
        /** The order is committed. */
        IN_FORCE,
        /** Another order on the failure domain was committed since the read; nothing was changed. */
        OVERTAKEN,
        /** This host is not the leader; nothing was changed. */
        NOT_LEADER,
        /** The outcome is unknown: the change may or may not take effect. */
        UNKNOWN
    }
}
