package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** Something that happened in one process: a change of state, or a stage of a request. Carries no text of callers. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
public sealed interface Event permits RequestEvent, TicketEvent, HostEvent, BackendEvent {}
