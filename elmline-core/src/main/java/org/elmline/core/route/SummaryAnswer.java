package org.elmline.core.route;

/** Whether the summary was newer than the one held. */
public record SummaryAnswer(boolean newer) {}
