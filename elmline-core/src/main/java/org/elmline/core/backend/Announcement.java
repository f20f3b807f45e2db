package org.elmline.core.backend;

import java.util.List;

import com.fasterxml.jackson.annotation.JsonTypeInfo;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.Incarnation;
import org.elmline.core.common.Region;
import org.elmline.core.engine.EngineLoad;

/**
 * The description that a backend server sends to an entry every few seconds. Immutable.
 *
 * @param protocol name of the plug-in that implements the engine's protocol; ignored for services
 * @param names models of an engine, or services of a plain service
 * @param versions version of each of {@code names}, in the same order
 * @param capacityKvTokens memory for KV cache in tokens; 0 for services
 * @param prefillTokensPerSecond prompt tokens that an idle engine prefills per second; 0 if not known
 * @param checksFencing whether it rejects orders with an old fencing number
 * @param leaving true once it accepts no new work
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NONE)
public record Announcement(
        BackendServerId id,
        Incarnation incarnation,
        BackendKind kind,
        String protocol,
        Address address,
        FailureDomain failureDomain,
        Region region,
        List<String> names,
        List<String> versions,
        List<String> adapters,
        String role,
        long capacityKvTokens,
        long prefillTokensPerSecond,
        EngineLoad load,
        boolean checksFencing,
        boolean leaving) {
    public Announcement {
        if (id == null || incarnation == null || kind == null || address == null) {
            throw new IllegalArgumentException("an announcement needs id, incarnation, kind and address");
        }
        if (failureDomain == null || region == null) {
            throw new IllegalArgumentException("an announcement needs failureDomain and region");
        }
        if (capacityKvTokens < 0 || prefillTokensPerSecond < 0) {
            throw new IllegalArgumentException("capacityKvTokens and prefillTokensPerSecond must not be negative");
        }
        names = names == null ? List.of() : List.copyOf(names);
        versions = versions == null ? List.of() : List.copyOf(versions);
        adapters = adapters == null ? List.of() : List.copyOf(adapters);
        protocol = protocol == null ? "standin" : protocol;
        role = role == null ? "" : role;
        load = load == null ? new EngineLoad(0, 0, 0) : load;
    }

    /** Returns a copy with {@code leaving} set. */
    public Announcement asLeaving() {
        return new Announcement(
                id,
                incarnation,
                kind,
                protocol,
                address,
                failureDomain,
                region,
                names,
                versions,
                adapters,
                role,
                capacityKvTokens,
                prefillTokensPerSecond,
                load,
                checksFencing,
                true);
    }
}
