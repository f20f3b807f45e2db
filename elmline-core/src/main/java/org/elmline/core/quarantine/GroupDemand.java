package org.elmline.core.quarantine;

import org.elmline.core.common.ServiceName;

/** An entry has calls whose prompts have all parts of a group: it may send the next trial. */
public record GroupDemand(ServiceName service, PartGroup group) {}
