package org.elmline.daemon.node;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.Address;
import org.elmline.core.common.FailureDomain;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Region;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/**
 * Settings of one gateway or coordinator process, JSON.
 *
 * @param name name of the host, for people
 * @param ip address of the host; processes know each other by it
 * @param callers where a gateway answers callers; null on a coordinator
 * @param ready where a gateway tells whether it is ready; null on a coordinator
 * @param operators where a coordinator answers operators and backend servers; null on a gateway
 * @param directory where a gateway tells callers which entries to use; null where it doesn't, and on a coordinator
 * @param peerPort port, the same on all hosts, at which elmline processes talk to each other
 * @param metricsPort port of the metrics; 0 for none
 * @param controlHosts operators' addresses of some control hosts; the others are learned from them
 * @param firstStart whether the deployment starts for the first time, with empty disks
 * @param dataFolder a coordinator's files
 * @param drainSeconds time that a stop leaves to finish what is in flight
 * @param heartbeatMillis pause between two heartbeats of a backend server
 * @param directoryKeepSeconds how long callers may keep a directory answer
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
        Integer metricsPort,
        String peerKey,
        List<Address> controlHosts,
        boolean firstStart,
        Path dataFolder,
        Double drainSeconds,
        Integer heartbeatMillis,
        Integer directoryKeepSeconds,
        RetrySettings retries) {
    private static final double DEFAULT_DRAIN_SECONDS = 8.0;
    private static final int DEFAULT_HEARTBEAT_MILLIS = 1_200;
    private static final int DEFAULT_DIRECTORY_KEEP_SECONDS = 3;
    private static final int MILLIS_PER_SECOND = 1_000;

    public NodeSettings {
        controlHosts = controlHosts == null ? List.of() : List.copyOf(controlHosts);
        metricsPort = metricsPort == null ? 0 : metricsPort;
        drainSeconds = drainSeconds == null ? DEFAULT_DRAIN_SECONDS : drainSeconds;
        heartbeatMillis = heartbeatMillis == null ? DEFAULT_HEARTBEAT_MILLIS : heartbeatMillis;
        directoryKeepSeconds = directoryKeepSeconds == null ? DEFAULT_DIRECTORY_KEEP_SECONDS : directoryKeepSeconds;
        retries = retries == null ? RetrySettings.DEFAULT : retries;
    }

    /** Outcome of reading a settings file. */
    public sealed interface ParseResult {
        /** The file holds complete settings. */
        record Valid(NodeSettings settings) implements ParseResult {}

        /** It doesn't; all problems found. */
        record Invalid(List<String> problems) implements ParseResult {}
    }

    /** Reads a settings file. */
    public static ParseResult read(Path file) {
        try {
            return read(Files.readAllBytes(file));
        } catch (IOException e) {
            return new ParseResult.Invalid(List.of("cannot be read: " + e));
        }
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
        require(peerPort > 0, "/peerPort is missing", problems);
        require(peerKey != null && peerKey.length() >= 16, "/peerKey needs 16 characters or more", problems);
        require(!controlHosts.isEmpty(), "/controlHosts names none", problems);
        boolean gateway = callers != null;
        require(gateway != (operators != null), "one of /callers and /operators must be given", problems);
        require(!gateway || ready != null, "/ready is missing", problems);
        require(gateway || dataFolder != null, "/dataFolder is missing", problems);
        require(gateway || directory == null, "/directory belongs to an entry", problems);
        require(drainSeconds > 0, "/drainSeconds must be above 0", problems);
        return problems;
    }

    private static void require(boolean holds, String problem, List<String> problems) {
        if (!holds) {
            problems.add(problem);
        }
    }

    /** Milliseconds that a stop leaves to finish what is in flight. */
    public long drainMillis() {
        return (long) (drainSeconds * MILLIS_PER_SECOND);
    }

    /** The id under which other processes know this host. */
    public HostId host() {
        return HostId.of(ip);
    }

    /** Where other elmline processes reach this host. */
    public Address peerAddress() {
        return peerAddressOf(host());
    }

    /** Where elmline processes reach a host: hosts are known by their address, and the port is the same on all. */
    public Address peerAddressOf(HostId host) {
        return new Address(host.value(), peerPort);
    }

    /** Where elmline processes reach the control hosts that the settings name. */
    public List<Address> controlPeerAddresses() {
        return controlHosts.stream()
                .map(each -> new Address(each.ip(), peerPort))
                .toList();
    }
}
