package org.elmline.core.config;

import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.TicketNumber;

/** An object with the ticket that last changed it and the configuration version of that change. */
public record VersionedObject(ConfigObject object, TicketNumber ticket, ConfigVersion version) {}
