package org.elmline.core.quarantine;

import org.elmline.core.common.AgeRange;
import org.elmline.core.common.ServiceName;

/**
 * An answer to a prompt with a part went on past its beginning, or was complete, so the part does not crash the servers
 * of the service.
 *
 * @param part null for an answer that only shows that the service works
 * @param ageMillis time since then, in milliseconds
 */
public record PartPass(ServiceName service, PromptPart part, long ageMillis) {
    public PartPass {
        if (service == null || !AgeRange.contains(ageMillis)) {
            throw new IllegalArgumentException("a pass needs a service and an age in range");
        }
    }
}
