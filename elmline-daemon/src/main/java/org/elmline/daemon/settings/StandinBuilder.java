package org.elmline.daemon.settings;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Region;

/**
 * Gathers what the settings of stand-ins for backend servers have in common; what is not given keeps its default.
 *
 * @param <B> the builder itself, which each method returns
 */
abstract class StandinBuilder<B extends StandinBuilder<B>> {
    BackendServerId id;
    Region region;
    FailureDomain failureDomain;
    ListenAddress address;
    List<Address> entries;
    Secret backendKey;
    LogSettings log = LogSettings.DEFAULT;

    abstract B self();

    public B id(BackendServerId value) {
        this.id = value;
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

    public B address(ListenAddress value) {
        this.address = value;
        return self();
    }

    public B entries(List<Address> value) {
        this.entries = value;
        return self();
    }

    public B backendKey(Secret value) {
        this.backendKey = value;
        return self();
    }

    public B log(LogSettings value) {
        this.log = value;
        return self();
    }
}
