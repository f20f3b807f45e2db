package org.elmline.core.route;

/** The owner has taken a report in. {@code unknown} of its items named a grant that the owner doesn't hold. */
public record GrantReportAnswer(int unknown) {}
