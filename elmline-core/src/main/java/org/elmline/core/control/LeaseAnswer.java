package org.elmline.core.control;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.Address;
import org.elmline.core.common.Incarnation;
import org.elmline.core.config.ConfigDelta;

/** A control host's answer to a renewal. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "answer")
public sealed interface LeaseAnswer {
    /**
     * The lease runs {@code leaseMillis} from the moment the entry sent its request, on the entry's own monotonic
     * clock.
     *
     * @param controlHosts peer addresses of all control hosts, the leader first
     */
    @JsonTypeName("granted")
    record Granted(long leaseMillis, ConfigDelta config, MembersDelta members, List<Address> controlHosts)
            implements LeaseAnswer {}

    /**
     * No lease was granted, as only the leader grants leases, and only while its own lease holds.
     *
     * @param leader address to send the request to, null when unknown
     */
    @JsonTypeName("not-leader")
    record NotLeader(Address leader) implements LeaseAnswer {}

    /** A later incarnation of the same host holds the lease; this process must not serve. */
    @JsonTypeName("replaced")
    record Replaced(Incarnation by) implements LeaseAnswer {}
}
