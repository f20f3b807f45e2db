package org.elmline.core.config;

import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.TicketNumber;

/** An object with the ticket that set it last and the configuration version that brought it. */
public record VersionedObject(ConfigObject object, TicketNumber ticket, ConfigVersion version) {}
