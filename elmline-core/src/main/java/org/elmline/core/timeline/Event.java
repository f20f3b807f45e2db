package org.elmline.core.timeline;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** An event in one process: a change of state or a stage of a request. Contains no text that callers sent. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "event")
public sealed interface Event permits RequestEvent, TicketEvent, HostEvent, BackendEvent {}
