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
 * @param entries callers' addresses of entries, where it announces itself first
 * @param kvTokens memory for the KV cache, in tokens
 * @param prefillTokensPerSecond prompt tokens read in a second by an idle engine
 * @param checksFencing whether it refuses an order under an old fencing number
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
    public Role role() {
        return Role.STANDIN_ENGINE;
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
        builder.model = model;
        builder.version = version;
        builder.adapters = adapters;
        builder.kvTokens = kvTokens;
        builder.prefillTokensPerSecond = prefillTokensPerSecond;
        builder.checksFencing = checksFencing;
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
        private ModelName model;
        private String version = "1";
        private List<String> adapters = List.of();
        private int kvTokens = 450_000;
        private int prefillTokensPerSecond = 40_000;
        private boolean checksFencing = true;
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

        public Builder log(LogSettings value) {
            this.log = value;
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
