package org.elmline.core.owner;

import org.elmline.core.route.OwnerPlaceAnswer;
import org.elmline.core.route.PlaceRequest;

/** The answer to a queued request. */
public record OwnerDecision(PlaceRequest request, OwnerPlaceAnswer answer) {}
