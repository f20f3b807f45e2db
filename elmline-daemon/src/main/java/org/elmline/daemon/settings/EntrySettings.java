package org.elmline.daemon.settings;

import java.util.List;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;

/**
 * Settings of an entry, which serves callers and stores nothing on disk.
 *
 * @param control the initial control hosts, from which this entry first requests its lease
 */
public record EntrySettings(
        HostId host,
        Region region,
        FailureDomain failureDomain,
        EntryAddresses addresses,
        List<ControlHost> control,
        EntryKeys keys,
        EntryLeaseSettings lease,
        BackendSettings backend,
        CallerSettings callers,
        LimitSettings limits,
        PlacementPolicySettings placement,
        TimelineSettings timeline,
        LogSettings log)
        implements Settings {
    public EntrySettings {
        control = control == null ? List.of() : List.copyOf(control);
    }

    @Override
    public ProcessRole role() {
        return ProcessRole.ENTRY;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Builder of {@link EntrySettings}; omitted settings keep their defaults. */
    public static final class Builder extends HostSettingsBuilder<Builder> {
        private EntryAddresses addresses;
        private EntryKeys keys;
        private BackendSettings backend = BackendSettings.DEFAULT;
        private CallerSettings callers = CallerSettings.DEFAULT;
        private LimitSettings limits = LimitSettings.DEFAULT;
        private PlacementPolicySettings placement = PlacementPolicySettings.DEFAULT;

        private Builder() {}

        @Override
        Builder self() {
            return this;
        }

        public Builder addresses(EntryAddresses value) {
            this.addresses = value;
            return this;
        }

        public Builder keys(EntryKeys value) {
            this.keys = value;
            return this;
        }

        public Builder backend(BackendSettings value) {
            this.backend = value;
            return this;
        }

        public Builder callers(CallerSettings value) {
            this.callers = value;
            return this;
        }

        public Builder limits(LimitSettings value) {
            this.limits = value;
            return this;
        }

        public Builder placement(PlacementPolicySettings value) {
            this.placement = value;
            return this;
        }

        public EntrySettings build() {
            return new EntrySettings(
                    host,
                    region,
                    failureDomain,
                    addresses,
                    control,
                    keys,
                    lease,
                    backend,
                    callers,
                    limits,
                    placement,
                    timeline,
                    log);
        }
    }
}
