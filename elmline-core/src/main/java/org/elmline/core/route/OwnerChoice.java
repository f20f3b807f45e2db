package org.elmline.core.route;

import org.elmline.core.control.HostRecord;

/** The owner to send the request to next, and the predicted time to first token there in milliseconds. */
public record OwnerChoice(HostRecord owner, long predictedFirstTokenMillis) {}
