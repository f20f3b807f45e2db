package org.elmline.core.quarantine;

import org.elmline.core.common.ServiceName;

/** An entry has calls whose prompts have all parts of a group: it may send the next trial. */
public record GroupDemand(ServiceName service, PartGroup group) {
    public GroupDemand {
        if (service == null || group == null) {
            throw new IllegalArgumentException("a demand needs service and group");
        }
    }
}
