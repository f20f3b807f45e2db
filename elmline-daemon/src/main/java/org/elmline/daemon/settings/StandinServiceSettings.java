package org.elmline.daemon.settings;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Region;
import org.elmline.core.common.ServiceName;

/**
 * Settings of a stand-in for a plain service.
 *
 * @param entries callers' addresses of entries, where it announces itself first
 */
public record StandinServiceSettings(
        BackendServerId id,
        Region region,
        FailureDomain failureDomain,
        ListenAddress address,
        List<Address> entries,
        Secret backendKey,
        ServiceName service,
        LogSettings log)
        implements Settings {
    public StandinServiceSettings {
        entries = entries == null ? List.of() : List.copyOf(entries);
    }

    @Override
    public Role role() {
        return Role.STANDIN_SERVICE;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** A builder that starts from these settings. */
    public Builder toBuilder() {
        Builder builder = new Builder();
        builder.id = id;
        builder.region = region;
        builder.failureDomain = failureDomain;
        builder.address = address;
        builder.entries = entries;
        builder.backendKey = backendKey;
        builder.service = service;
        builder.log = log;
        return builder;
    }

    /** Gathers the settings; what is not given keeps its default. */
    public static final class Builder {
        private BackendServerId id;
        private Region region;
        private FailureDomain failureDomain;
        private ListenAddress address;
        private List<Address> entries;
        private Secret backendKey;
        private ServiceName service;
        private LogSettings log = LogSettings.DEFAULT;

        private Builder() {}

        public Builder id(BackendServerId value) {
            this.id = value;
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

        public Builder address(ListenAddress value) {
            this.address = value;
            return this;
        }

        public Builder entries(List<Address> value) {
            this.entries = value;
            return this;
        }

        public Builder backendKey(Secret value) {
            this.backendKey = value;
            return this;
        }

        public Builder service(ServiceName value) {
            this.service = value;
            return this;
        }

        public Builder log(LogSettings value) {
            this.log = value;
            return this;
        }

        public StandinServiceSettings build() {
            return new StandinServiceSettings(id, region, failureDomain, address, entries, backendKey, service, log);
        }
    }
}
