package org.elmline.daemon.node;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.elmline.core.admission.AdmissionMode;
import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;
import org.elmline.wire.shape.NameList;

/**
 * Settings of one gateway or coordinator process, read from JSON.
 *
 * @param name name of the host, for log lines
 * @param ip address of the host, by which other processes identify it
 * @param callers address on which a gateway serves callers; null on a coordinator
 * @param ready address on which a gateway reports whether it is ready; null on a coordinator
 * @param operators address on which a coordinator serves operators and backend servers; null on a gateway
 * @param directory address on which a gateway answers which entries callers should use; null on a gateway without a
 *     directory and on a coordinator
 * @param peerPort port on which elmline processes communicate, the same on all hosts
 * @param relayPort port on which entries forward requests of entries without a path to a server, the same on all hosts;
 *     0 for none
 * @param metricsPort port of the metrics; 0 for none
 * @param controlHosts operators' addresses of some control hosts, which report the others
 * @param firstStart whether the deployment starts for the first time, with empty disks
 * @param dataFolder folder of a coordinator's files
 * @param drainSeconds time that a stopping process has to finish calls in flight
 * @param heartbeatMillis time between two heartbeats of a backend server
 * @param routingUpdateMillis time within which a newer routing table must be in force
 * @param unconfirmedRoutingMillis time for which an entry serves by a routing table while the control hosts run without a
 *     leader that could confirm it as the newest
 * @param directoryKeepSeconds time for which callers may cache a directory answer
 * @param directoryEntries entries of a failure domain to which its callers are directed while they are not overloaded;
 *     0 for all
 * @param evacuationMillis time after the acknowledgement of an evacuation within which no entry sends new work to the
 *     failure domain any more; null where operators can't evacuate failure domains
 * @param failureDomains names of the failure domains that operators may evacuate
 * @param memory bounds on the memory that a gateway holds for slow readers
 * @param admission how dispatchers of services with engines decide whether a call can still be served in time
 */
public record NodeSettings(
        String name,
        String ip,
        Region region,
        FailureDomain failureDomain,
        Address callers,
        Address ready,
        Address operators,
        Address directory,
        int peerPort,
        Integer relayPort,
        Integer metricsPort,
        String peerKey,
        List<Address> controlHosts,
        boolean firstStart,
        Path dataFolder,
        Double drainSeconds,
        Integer heartbeatMillis,
        Integer routingUpdateMillis,
        Integer unconfirmedRoutingMillis,
        Integer directoryKeepSeconds,
        Integer directoryEntries,
        RetrySettings retries,
        Integer evacuationMillis,
        NameList failureDomains,
        MemorySettings memory,
        AdmissionMode admission) {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_DRAIN_SECONDS = 86_400;
    private static final double DEFAULT_DRAIN_SECONDS = 8.0;
    private static final int DEFAULT_HEARTBEAT_MILLIS = 1_200;
    private static final int DEFAULT_ROUTING_UPDATE_MILLIS = 2_000;
    private static final int DEFAULT_UNCONFIRMED_ROUTING_MILLIS = 3_000;
    private static final int DEFAULT_DIRECTORY_KEEP_SECONDS = 3;
    private static final int MILLIS_PER_SECOND = 1_000;

    public NodeSettings {
        controlHosts = controlHosts == null ? List.of() : List.copyOf(controlHosts);
        relayPort = relayPort == null ? 0 : relayPort;
        metricsPort = metricsPort == null ? 0 : metricsPort;
        drainSeconds = drainSeconds == null ? DEFAULT_DRAIN_SECONDS : drainSeconds;
        heartbeatMillis = heartbeatMillis == null ? DEFAULT_HEARTBEAT_MILLIS : heartbeatMillis;
        routingUpdateMillis = routingUpdateMillis == null ? DEFAULT_ROUTING_UPDATE_MILLIS : routingUpdateMillis;
        unconfirmedRoutingMillis =
                unconfirmedRoutingMillis == null ? DEFAULT_UNCONFIRMED_ROUTING_MILLIS : unconfirmedRoutingMillis;
        directoryKeepSeconds = directoryKeepSeconds == null ? DEFAULT_DIRECTORY_KEEP_SECONDS : directoryKeepSeconds;
        directoryEntries = directoryEntries == null ? 0 : directoryEntries;
        retries = retries == null ? RetrySettings.DEFAULT : retries;
        failureDomains = failureDomains == null ? NameList.EMPTY : failureDomains;
        memory = memory == null ? MemorySettings.NONE : memory;
        admission = admission == null ? AdmissionMode.SLOTS : admission;
    }

    /** Outcome of reading a settings file. */
    public sealed interface ParseResult {
        /** The settings are complete. */
        record Valid(NodeSettings settings) implements ParseResult {}

        /** The settings are malformed or incomplete; lists all problems found. */
        record Invalid(List<String> problems) implements ParseResult {}
    }

    /** Reads the bytes of a settings file. */
    public static ParseResult read(byte[] json) {
        Decoded<NodeSettings> decoded = Codecs.STRICT_JSON.decode(json, NodeSettings.class);
        if (decoded instanceof Decoded.Malformed<NodeSettings> malformed) {
            return new ParseResult.Invalid(List.of(malformed.reason()));
        }
        NodeSettings settings = ((Decoded.Value<NodeSettings>) decoded).value();
        List<String> problems = settings.findProblems();
        return problems.isEmpty() ? new ParseResult.Valid(settings) : new ParseResult.Invalid(problems);
    }

    private List<String> findProblems() {
        List<String> problems = new ArrayList<>();
        require(ip != null, "/ip is missing", problems);
        require(region != null, "/region is missing", problems);
        require(failureDomain != null, "/failureDomain is missing", problems);
        require(ip == null || isHostId(ip), "/ip is not an address", problems);
        require(peerPort > 0, "/peerPort is missing", problems);
        require(peerPort <= MAX_PORT, "/peerPort is out of range", problems);
        require(relayPort >= 0 && relayPort <= MAX_PORT, "/relayPort is out of range", problems);
        require(metricsPort >= 0 && metricsPort <= MAX_PORT, "/metricsPort is out of range", problems);
        require(peerKey != null && peerKey.length() >= 16, "/peerKey needs 16 characters or more", problems);
        require(!controlHosts.isEmpty(), "/controlHosts names none", problems);
        boolean gateway = callers != null;
        require(gateway != (operators != null), "one of /callers and /operators must be given", problems);
        require(!gateway || ready != null, "/ready is missing", problems);
        require(gateway || dataFolder != null, "/dataFolder is missing", problems);
        require(gateway || directory == null, "/directory belongs to an entry", problems);
        require(drainSeconds > 0, "/drainSeconds must be above 0", problems);
        require(drainSeconds <= MAX_DRAIN_SECONDS, "/drainSeconds must be at most a day", problems);
        require(directoryEntries >= 0, "/directoryEntries must not be negative", problems);
        require(routingUpdateMillis > 0, "/routingUpdateMillis must be above 0", problems);
        require(unconfirmedRoutingMillis > 0, "/unconfirmedRoutingMillis must be above 0", problems);
        require(!followsEvacuations() || evacuationMillis > 0, "/evacuationMillis must be above 0", problems);
        require(
                gateway || !followsEvacuations() || !failureDomains.names().isEmpty(),
                "/failureDomains names none, so none can be evacuated",
                problems);
        failureDomains.names().stream()
                .filter(each -> !isFailureDomain(each))
                .forEach(each -> problems.add("/failureDomains: not a name: " + each));
        memory.findProblems(problems);
        return problems;
    }

    private static boolean isHostId(String ip) {
        try {
            HostId.of(ip);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static boolean isFailureDomain(String name) {
        try {
            FailureDomain.of(name);
            return true;
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    private static void require(boolean holds, String problem, List<String> problems) {
        if (!holds) {
            problems.add(problem);
        }
    }

    /** Whether operators of this deployment can evacuate failure domains. */
    public boolean followsEvacuations() {
        return evacuationMillis != null;
    }

    /** The failure domains that operators may evacuate; none where they can't. */
    public List<FailureDomain> evacuableDomains() {
        return followsEvacuations()
                ? failureDomains.names().stream().map(FailureDomain::of).toList()
                : List.of();
    }

    /** Milliseconds that a stopping process has to finish calls in flight. */
    public long drainMillis() {
        return (long) (drainSeconds * MILLIS_PER_SECOND);
    }

    /** The id by which other processes identify this host. */
    public HostId host() {
        return HostId.of(ip);
    }

    /** Address at which other elmline processes reach this host. */
    public Address peerAddress() {
        return peerAddressOf(host());
    }

    /**
     * Address at which elmline processes reach a host: its id is its IP address, and the port is the same on all hosts.
     */
    public Address peerAddressOf(HostId host) {
        return new Address(host.value(), peerPort);
    }

    /** Addresses at which elmline processes reach the control hosts named in the settings. */
    public List<Address> controlPeerAddresses() {
        return controlHosts.stream()
                .map(each -> new Address(each.ip(), peerPort))
                .toList();
    }
}
