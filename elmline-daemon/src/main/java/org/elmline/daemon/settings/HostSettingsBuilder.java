package org.elmline.daemon.settings;

import java.util.List;

import org.elmline.core.common.HostId;

/**
 * Builder of the settings that entries and control hosts have in common; omitted settings keep their defaults.
 *
 * @param <B> type of the builder itself, which each method returns
 */
abstract class HostSettingsBuilder<B extends HostSettingsBuilder<B>> extends SettingsBuilder<B> {
    HostId host;
    List<ControlHost> control;
    EntryLeaseSettings lease = EntryLeaseSettings.DEFAULT;
    TimelineSettings timeline = TimelineSettings.DEFAULT;

    public B host(HostId value) {
        this.host = value;
        return self();
    }

    public B control(List<ControlHost> value) {
        this.control = value;
        return self();
    }

    public B lease(EntryLeaseSettings value) {
        this.lease = value;
        return self();
    }

    public B timeline(TimelineSettings value) {
        this.timeline = value;
        return self();
    }
}
