package org.elmline.core.quarantine;

import org.elmline.core.common.BackendServerId;

/**
 * One start of a backend server.
 *
 * @param bornMillis when it started, by the server's own clock, in milliseconds since 1970
 */
public record ServerStart(BackendServerId server, long bornMillis) {}
