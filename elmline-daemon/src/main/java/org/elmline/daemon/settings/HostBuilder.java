package org.elmline.daemon.settings;

import java.util.List;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;

/**
 * Gathers what the settings of entries and control hosts have in common; what is not given keeps its default.
 *
 * @param <B> the builder itself, which each method returns
 */
abstract class HostBuilder<B extends HostBuilder<B>> {
    HostId host;
    Region region;
    FailureDomain failureDomain;
    List<ControlHost> control;
    LeaseSettings lease = LeaseSettings.DEFAULT;
    TimelineSettings timeline = TimelineSettings.DEFAULT;
    LogSettings log = LogSettings.DEFAULT;

    abstract B self();

    public B host(HostId value) {
        this.host = value;
        return self();
    }

    public B region(Region value) {
        this.region = value;
        return self();
    }

    public B failureDomain(FailureDomain value) {
        this.failureDomain = value;
        return self();
    }

    public B control(List<ControlHost> value) {
        this.control = value;
        return self();
    }

    public B lease(LeaseSettings value) {
        this.lease = value;
        return self();
    }

    public B timeline(TimelineSettings value) {
        this.timeline = value;
        return self();
    }

    public B log(LogSettings value) {
        this.log = value;
        return self();
    }
}
