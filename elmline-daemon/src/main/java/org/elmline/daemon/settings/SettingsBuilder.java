package org.elmline.daemon.settings;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Region;

/**
 * Builder of the settings that all processes have in common; omitted settings keep their defaults.
 *
 * @param <B> type of the builder itself, which each method returns
 */
abstract class SettingsBuilder<B extends SettingsBuilder<B>> {
    Region region;
    FailureDomain failureDomain;
    LogSettings log = LogSettings.DEFAULT;

    abstract B self();

    public B region(Region value) {
        this.region = value;
        return self();
    }

    public B failureDomain(FailureDomain value) {
        this.failureDomain = value;
        return self();
    }

    public B log(LogSettings value) {
        this.log = value;
        return self();
    }
}
