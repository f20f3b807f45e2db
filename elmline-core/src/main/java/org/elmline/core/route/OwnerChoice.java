package org.elmline.core.route;

import org.elmline.core.control.HostRecord;

/** The owner to ask next, and the time to first token expected there. */
public record OwnerChoice(HostRecord owner, long predictedFirstTokenMillis) {}
