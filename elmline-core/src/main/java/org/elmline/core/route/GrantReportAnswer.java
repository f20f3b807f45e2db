package org.elmline.core.route;

/** Acknowledges a {@link GrantReport}. {@code unknown} of its items named a grant that the owner doesn't hold. */
public record GrantReportAnswer(int unknown) {}
