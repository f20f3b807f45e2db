package org.elmline.core.control;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import com.fasterxml.jackson.annotation.JsonTypeName;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.RefusalReason;

/**
 * The decision on a ticket. The same content under the same number gets the same outcome for as long as it is retained.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "outcome")
public sealed interface TicketOutcome {
    /** The whole ticket is part of the configuration from this version on. */
    @JsonTypeName("accepted")
    record Accepted(ConfigVersion version) implements TicketOutcome {}

    /** Nothing of the ticket was applied. */
    @JsonTypeName("refused")
    record Refused(RefusalReason reason, String message) implements TicketOutcome {}
}
