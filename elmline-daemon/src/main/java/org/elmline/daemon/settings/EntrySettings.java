package org.elmline.daemon.settings;

import java.util.List;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;

/**
 * Settings of an entry, which serves callers and keeps nothing on disk.
 *
 * @param control the initial control hosts, where this entry asks for its lease first
 */
public record EntrySettings(
        HostId host,
        Region region,
        FailureDomain failureDomain,
        EntryAddresses addresses,
        List<ControlHost> control,
        EntryKeys keys,
        LeaseSettings lease,
        BackendSettings backend,
        CallerSettings callers,
        LimitSettings limits,
        PlacementSettings placement,
        TimelineSettings timeline,
        LogSettings log)
        implements Settings {
    public EntrySettings {
        control = control == null ? List.of() : List.copyOf(control);
    }

    @Override
    public Role role() {
        return Role.ENTRY;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** A builder that starts from these settings. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.host = host;
        builder.region = region;
        builder.failureDomain = failureDomain;
        builder.addresses = addresses;
        builder.control = control;
        builder.keys = keys;
        builder.lease = lease;
        builder.backend = backend;
        builder.callers = callers;
        builder.limits = limits;
        builder.placement = placement;
        builder.timeline = timeline;
        builder.log = log;
        return builder;
    }

    /** Gathers the settings; what is not given keeps its default. */
    public static final class Builder {
        private HostId host;
        private Region region;
        private FailureDomain failureDomain;
        private EntryAddresses addresses;
        private List<ControlHost> control;
        private EntryKeys keys;
        private LeaseSettings lease = LeaseSettings.DEFAULT;
        private BackendSettings backend = BackendSettings.DEFAULT;
        private CallerSettings callers = CallerSettings.DEFAULT;
        private LimitSettings limits = LimitSettings.DEFAULT;
        private PlacementSettings placement = PlacementSettings.DEFAULT;
        private TimelineSettings timeline = TimelineSettings.DEFAULT;
        private LogSettings log = LogSettings.DEFAULT;

        private Builder() {}

        public Builder host(HostId value) {
            this.host = value;
            return this;
        }

        public Builder region(Region value) {
            this.region = value;
            return this;
        }

        public Builder failureDomain(FailureDomain value) {
            this.failureDomain = value;
            return this;
        }

        public Builder addresses(EntryAddresses value) {
            this.addresses = value;
            return this;
        }

        public Builder control(List<ControlHost> value) {
            this.control = value;
            return this;
        }

        public Builder keys(EntryKeys value) {
            this.keys = value;
            return this;
        }

        public Builder lease(LeaseSettings value) {
            this.lease = value;
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

        public Builder placement(PlacementSettings value) {
            this.placement = value;
            return this;
        }

        public Builder timeline(TimelineSettings value) {
            this.timeline = value;
            return this;
        }

        public Builder log(LogSettings value) {
            this.log = value;
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
