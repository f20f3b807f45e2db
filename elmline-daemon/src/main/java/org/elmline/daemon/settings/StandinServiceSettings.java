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
 * @param entries the callers' addresses of entries, to which it announces itself first
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
    public ProcessRole role() {
        return ProcessRole.STANDIN_SERVICE;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Builder of {@link StandinServiceSettings}; omitted settings keep their defaults. */
    public static final class Builder extends StandinSettingsBuilder<Builder> {
        private ServiceName service;

        private Builder() {}

        @Override
        Builder self() {
            return this;
        }

        public Builder service(ServiceName value) {
            this.service = value;
            return this;
        }

        public StandinServiceSettings build() {
            return new StandinServiceSettings(id, region, failureDomain, address, entries, backendKey, service, log);
        }
    }
}
