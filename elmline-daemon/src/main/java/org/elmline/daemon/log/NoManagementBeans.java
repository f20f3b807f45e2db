package org.elmline.daemon.log;

import javax.management.MBeanServerBuilder;
import javax.management.MBeanServerDelegate;

/**
 * Makes the creation of a server for management beans fail with a constant message. The HTTP server tries to register
 * beans when it starts and continues without them on a failure. Metrics are served over HTTP, so nothing reads the
 * beans. Selected by the system property {@code javax.management.builder.initial}; a class name that does not exist has
 * the same effect, but its error message is built from parts, which costs more than the rest of the attempt.
 */
public final class NoManagementBeans extends MBeanServerBuilder {
    /** Returns null, which the runtime reports as a failure to create the server. */
    @Override
    public MBeanServerDelegate newMBeanServerDelegate() {
        return null;
    }
}
