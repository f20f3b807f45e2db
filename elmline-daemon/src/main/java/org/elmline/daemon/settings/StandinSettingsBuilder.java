package org.elmline.daemon.settings;

import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;

/**
 * Builder of the settings that stand-ins for backend servers have in common; omitted settings keep their defaults.
 *
 * @param <B> type of the builder itself, which each method returns
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
