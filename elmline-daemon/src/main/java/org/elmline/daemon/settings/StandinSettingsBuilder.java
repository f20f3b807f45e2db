package org.elmline.daemon.settings;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;

/**
 * Gathers what the settings of stand-ins for backend servers have in common; what is not given keeps its default.
 *
 * @param <B> the builder itself, which each method returns
 */
abstract class StandinSettingsBuilder<B extends StandinSettingsBuilder<B>> extends SettingsBuilder<B> {
    BackendServerId id;
    ListenAddress address;
    List<Address> entries;
    Secret backendKey;

    public B id(BackendServerId value) {
        this.id = value;
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
}
