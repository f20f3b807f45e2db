package org.elmline.core.dispatch;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;

/** A dispatcher's answer to a {@link DispatchCall}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public sealed interface DispatchAnswer {
    /**
     * The call may be sent to the server.
     *
     * @param firstMillis predicted time to the answer or its first event
     * @param engineMillis predicted time until the engine has finished the call
     * @param backlogMillis prefill backlog of the server at the decision; for diagnosis
     * @param running calls that ran on the server at the decision; for diagnosis
     * @param single whether no other dispatcher decides on the server, so that the requests to a cold one are paced by
     *     this one; otherwise each entry keeps to its share of it. False from an earlier release.
     */
    @JsonTypeName("granted")
    record Granted(
            String attempt,
            BackendServerId server,
            Address address,
            List<Helper> helpers,
            long firstMillis,
            long engineMillis,
            long backlogMillis,
            int running,
            boolean single)
            implements DispatchAnswer {
        /** Creates a grant of a dispatcher that may not be the only one. */
        public Granted(
                String attempt,
                BackendServerId server,
                Address address,
                List<Helper> helpers,
                long firstMillis,
                long engineMillis,
                long backlogMillis,
                int running) {
            this(attempt, server, address, helpers, firstMillis, engineMillis, backlogMillis, running, false);
        }

        public Granted {
            if (attempt == null || server == null || address == null) {
                throw new IllegalArgumentException("a grant needs attempt, server and address");
            }
            helpers = helpers == null ? List.of() : List.copyOf(helpers);
        }
    }

    /** The call waits for a slot; the decision is sent to the requesting entry later. */
    @JsonTypeName("queued")
    record Queued(String attempt, int ahead) implements DispatchAnswer {}

    /** The call was not placed and will not be placed under this attempt. */
    @JsonTypeName("refused")
    record Refused(String attempt, RefusalCause why, long retryAfterMillis) implements DispatchAnswer {}

    String attempt();

    /** Why a call was not placed. */
    enum RefusalCause {
        /** No backend server that may be used for the call is registered. */
        NO_SERVER,
        /** The call cannot be completed before its deadline. */
        TOO_LATE,
        /** The queue is full. */
        QUEUE_FULL,
        /** The retry budget of the service is used up. */
        RETRY_BUDGET,
        /** The call needs more memory than all engines have together. */
        TOO_LARGE
    }
}
