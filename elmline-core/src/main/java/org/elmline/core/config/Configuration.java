package org.elmline.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.OrganisationId;
import org.elmline.core.common.ServiceName;

/** All accepted objects at one configuration version. Immutable; each change creates a new instance. */
public final class Configuration {
    public static final Configuration EMPTY = new Configuration(ConfigVersion.of(0), Map.of(), Map.of());

    private final ConfigVersion version;
    private final Map<String, VersionedObject> objects;
    private final Map<String, Organisation> organisationsByKeyHash;

    private Configuration(
            ConfigVersion version, Map<String, VersionedObject> objects, Map<String, Organisation> byKeyHash) {
        this.version = version;
        this.objects = objects;
        this.organisationsByKeyHash = byKeyHash;
    }

    public ConfigVersion version() {
        return version;
    }

    public Collection<VersionedObject> objects() {
        return objects.values();
    }

    public Optional<VersionedObject> object(String key) {
        return Optional.ofNullable(objects.get(key));
    }

    public Optional<Model> model(ModelName name) {
        return find("model/" + name, Model.class).filter(m -> !m.removed());
    }

    public Optional<Service> service(ServiceName name) {
        return find("service/" + name, Service.class).filter(s -> !s.removed());
    }

    public Optional<Organisation> organisation(OrganisationId id) {
        return find("organisation/" + id, Organisation.class).filter(o -> !o.removed());
    }

    /**
     * The organisation that an API key belongs to.
     *
     * @param keyHash SHA-256 of the key in lower-case hexadecimal
     */
    public Optional<Organisation> organisationByKeyHash(String keyHash) {
        return Optional.ofNullable(organisationsByKeyHash.get(keyHash));
    }

    public List<Model> models() {
        List<Model> found = new ArrayList<>();
        for (VersionedObject each : objects.values()) {
            if (each.object() instanceof Model model && !model.removed()) {
                found.add(model);
            }
        }
        return found;
    }

    /** Applies a delta. A delta that ends at or before this version returns this configuration unchanged. */
    public Configuration with(ConfigDelta delta) {
        if (delta.to().compareTo(version) <= 0) {
            return this;
        }
        Map<String, VersionedObject> next = new HashMap<>(objects);
        for (VersionedObject each : delta.changed()) {
            next.merge(each.object().key(), each, Configuration::newer);
        }
        return new Configuration(delta.to(), Map.copyOf(next), indexByKeyHash(next));
    }

    /** The delta that updates a configuration at version {@code from} to this version. */
    public ConfigDelta changesSince(ConfigVersion from) {
        List<VersionedObject> changed = new ArrayList<>();
        for (VersionedObject each : objects.values()) {
            if (each.version().compareTo(from) > 0) {
                changed.add(each);
            }
        }
        return new ConfigDelta(from, version, changed);
    }

    private <T extends ConfigObject> Optional<T> find(String key, Class<T> kind) {
        VersionedObject found = objects.get(key);
        return found == null ? Optional.empty() : Optional.of(kind.cast(found.object()));
    }

    private static VersionedObject newer(VersionedObject a, VersionedObject b) {
        return a.version().compareTo(b.version()) >= 0 ? a : b;
    }

    private static Map<String, Organisation> indexByKeyHash(Map<String, VersionedObject> objects) {
        Map<String, Organisation> index = new HashMap<>();
        for (VersionedObject each : objects.values()) {
            if (each.object() instanceof Organisation organisation && !organisation.removed()) {
                organisation.keyHashes().forEach(hash -> index.put(hash, organisation));
            }
        }
        return Map.copyOf(index);
    }
}
