package org.elmline.core.quarantine;

import java.util.List;

import org.elmline.core.common.ServiceName;

/** Parts of prompts under which servers of a service ended; entries report answers that show that one is sound. */
public record SuspectParts(ServiceName service, List<PromptPart> parts) {
    public SuspectParts {
        if (service == null) {
            throw new IllegalArgumentException("suspect parts need a service");
        }
        parts = parts == null ? List.of() : List.copyOf(parts);
    }
}
