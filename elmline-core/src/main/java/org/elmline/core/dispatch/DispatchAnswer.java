package org.elmline.core.dispatch;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;

/** What a dispatcher answers to a {@link DispatchCall}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
public sealed interface DispatchAnswer {
    /**
     * The call may be sent.
     *
     * @param firstMillis predicted time to the answer or its first event
     * @param engineMillis predicted time until the engine is done with the call
     * @param backlogMillis reading that was waiting there, an input of the decision
     * @param running calls that ran there, an input of the decision
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
            int running)
            implements DispatchAnswer {
        public Granted {
            helpers = helpers == null ? List.of() : List.copyOf(helpers);
        }
    }

    /** Waits for a place; the decision is pushed to the asking entry. */
    @JsonTypeName("queued")
    record Queued(String attempt, int ahead) implements DispatchAnswer {}

    /** Was not and will not be placed under this attempt. */
    @JsonTypeName("refused")
    record Refused(String attempt, RefusalCause why, long retryAfterMillis) implements DispatchAnswer {}

    String attempt();

    /** Why a call was not placed. */
    enum RefusalCause {
        /** No backend server of the service is known that could take it. */
        NO_SERVER,
        /** It can't be done within its time. */
        TOO_LATE,
        /** Too many calls are waiting already. */
        QUEUE_FULL,
        /** Too many calls were repeated of late. */
        RETRY_BUDGET,
        /** More memory than all engines together can give. */
        TOO_LARGE
    }
}
