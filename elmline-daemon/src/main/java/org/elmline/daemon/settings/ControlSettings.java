package org.elmline.daemon.settings;

import java.nio.file.Path;
import java.util.List;

import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;

/**
 * Settings of a control host, which stores a replica of the accepted tickets, leases and claims on disk.
 *
 * @param dataFolder folder of all its files; never shared by two processes
 * @param control the initial control hosts, including this one
 */
public record ControlSettings(
        HostId host,
        Region region,
        FailureDomain failureDomain,
        Path dataFolder,
        ControlAddresses addresses,
        List<ControlHost> control,
        ControlKeys keys,
        EntryLeaseSettings lease,
        ControlRaftSettings raft,
        RetentionSettings retention,
        TimelineSettings timeline,
        LogSettings log)
        implements Settings {
    public ControlSettings {
        control = control == null ? List.of() : List.copyOf(control);
    }

    @Override
    public ProcessRole role() {
        return ProcessRole.CONTROL;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** A builder initialised with these settings. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.host = host;
        builder.region = region;
        builder.failureDomain = failureDomain;
        builder.dataFolder = dataFolder;
        builder.addresses = addresses;
        builder.control = control;
        builder.keys = keys;
        builder.lease = lease;
        builder.raft = raft;
        builder.retention = retention;
        builder.timeline = timeline;
        builder.log = log;
        return builder;
    }

    /** Builder of {@link ControlSettings}; omitted settings keep their defaults. */
    public static final class Builder extends HostSettingsBuilder<Builder> {
        private Path dataFolder;
        private ControlAddresses addresses;
        private ControlKeys keys;
        private ControlRaftSettings raft = ControlRaftSettings.DEFAULT;
        private RetentionSettings retention = RetentionSettings.DEFAULT;

        private Builder() {}

        @Override
        Builder self() {
            return this;
        }

        public Builder dataFolder(Path value) {
            this.dataFolder = value;
            return this;
        }

        public Builder addresses(ControlAddresses value) {
            this.addresses = value;
            return this;
        }

        public Builder keys(ControlKeys value) {
            this.keys = value;
            return this;
        }

        public Builder raft(ControlRaftSettings value) {
            this.raft = value;
            return this;
        }

        public Builder retention(RetentionSettings value) {
            this.retention = value;
            return this;
        }

        public ControlSettings build() {
            return new ControlSettings(
                    host,
                    region,
                    failureDomain,
                    dataFolder,
                    addresses,
                    control,
                    keys,
                    lease,
                    raft,
                    retention,
                    timeline,
                    log);
        }
    }
}
