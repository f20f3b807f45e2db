package org.elmline.core.control;

import org.elmline.core.common.FencingNumber;

/** A control leader's request to an entry to report what its engines serve now. */
public record ObserveRequest(FencingNumber fencing) {}
