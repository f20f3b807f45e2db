package org.elmline.daemon.control;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.common.Address;
import org.elmline.core.common.HostId;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.core.raft.ReplicaId;
import org.elmline.daemon.raft.ProposeResult;
import org.elmline.daemon.raft.RaftDriver;
import org.elmline.daemon.raft.RaftStatus;
import org.elmline.daemon.settings.ControlHost;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** The replicated log of this control host: commands in MessagePack over a Raft replica. */
final class RaftCommandLog implements CommandLog {
    private static final long TRANSFER_SECONDS = 5;

    private final RaftDriver driver;
    private final Map<HostId, Address> peers = new LinkedHashMap<>();

    RaftCommandLog(RaftDriver driver, List<ControlHost> hosts) {
        this.driver = driver;
        hosts.forEach(each -> peers.put(each.host(), each.peers()));
    }

    @Override
    public CompletableFuture<Proposed> propose(Command command) {
        return driver.propose(Codecs.MESSAGE_PACK.encode(command)).thenApply(this::proposed);
    }

    @Override
    public Standing standing() {
        RaftStatus status = driver.status();
        Address leader = address(status.leader());
        List<Address> hosts = new ArrayList<>();
        if (leader != null) {
            hosts.add(leader);
        }
        for (ReplicaId each : status.membership().voters()) {
            Address address = address(each);
            if (address != null && !hosts.contains(address)) {
                hosts.add(address);
            }
        }
        return new Standing(status.leads(), status.term(), status.leaseUntilNanos(), leader, hosts);
    }

    /** Hands leadership over, so that a planned stop costs no election timeout. */
    void handOver() {
        if (driver.isLeader()) {
            driver.transferLeadership()
                    .completeOnTimeout(false, TRANSFER_SECONDS, java.util.concurrent.TimeUnit.SECONDS)
                    .join();
        }
    }

    private Proposed proposed(ProposeResult result) {
        if (result instanceof ProposeResult.Committed committed) {
            Decoded<CommandResult> decoded = Codecs.MESSAGE_PACK.decode(committed.result(), CommandResult.class);
            return new Proposed.Applied(((Decoded.Value<CommandResult>) decoded).value());
        }
        if (result instanceof ProposeResult.NotLeader not) {
            return new Proposed.NotLeader(address(not.leader()));
        }
        if (result instanceof ProposeResult.Refused) {
            return new Proposed.Overloaded();
        }
        return new Proposed.Undecided(((ProposeResult.Unknown) result).why());
    }

    private Address address(ReplicaId replica) {
        return replica == null ? null : peers.get(replica.host());
    }

    @Override
    public void close() {
        driver.close();
    }
}
