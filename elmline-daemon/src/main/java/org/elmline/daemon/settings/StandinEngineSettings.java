package org.elmline.daemon.settings;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.Region;

/**
 * Settings of a stand-in for a model engine.
 *
 * @param entries the callers' addresses of entries, to which it announces itself first
 * @param kvTokens size of the KV cache in tokens
 * @param prefillTokensPerSecond prompt tokens that an idle engine prefills per second
 * @param checksFencing whether it rejects an order with an old fencing number
 */
public record StandinEngineSettings(
        BackendServerId id,
        Region region,
        FailureDomain failureDomain,
        ListenAddress address,
        List<Address> entries,
        Secret backendKey,
        ModelName model,
        String version,
        List<String> adapters,
        int kvTokens,
        int prefillTokensPerSecond,
        boolean checksFencing,
        LogSettings log)
        implements Settings {
    public StandinEngineSettings {
        entries = entries == null ? List.of() : List.copyOf(entries);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
    }

    @Override
    public ProcessRole role() {
        return ProcessRole.STANDIN_ENGINE;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Builder of {@link StandinEngineSettings}; omitted settings keep their defaults. */
    public static final class Builder extends StandinSettingsBuilder<Builder> {
        private ModelName model;
        private String version = "1";
        private List<String> adapters = List.of();
        private int kvTokens = 450_000;
        private int prefillTokensPerSecond = 40_000;
        private boolean checksFencing = true;

        private Builder() {}

        @Override
        Builder self() {
            return this;
        }

        public Builder model(ModelName value) {
            this.model = value;
            return this;
        }

        public Builder version(String value) {
            this.version = value;
            return this;
        }

        public Builder adapters(List<String> value) {
            this.adapters = value;
            return this;
        }

        public Builder kvTokens(int value) {
            this.kvTokens = value;
            return this;
        }

        public Builder prefillTokensPerSecond(int value) {
            this.prefillTokensPerSecond = value;
            return this;
        }

        public Builder checksFencing(boolean value) {
            this.checksFencing = value;
            return this;
        }

        public StandinEngineSettings build() {
            return new StandinEngineSettings(
                    id,
                    region,
                    failureDomain,
                    address,
                    entries,
                    backendKey,
                    model,
                    version,
                    adapters,
                    kvTokens,
                    prefillTokensPerSecond,
                    checksFencing,
                    log);
        }
    }
}
