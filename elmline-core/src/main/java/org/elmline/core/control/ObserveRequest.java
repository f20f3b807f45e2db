package org.elmline.core.control;

import org.elmline.core.common.FencingNumber;

/** A control leader asks an entry what its engines serve now. */
public record ObserveRequest(FencingNumber fencing) {}
