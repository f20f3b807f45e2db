package org.elmline.daemon.gateway;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;

/** The backend server that a request is for. */
record BackendTarget(BackendServerId server, Address address) {}
