package org.elmline.core.owner;

import org.elmline.core.route.PlaceAnswer;
import org.elmline.core.route.PlaceRequest;

/** The answer to a request that had to wait. */
public record Decided(PlaceRequest request, PlaceAnswer answer) {}
