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

/** The replicated log of this control host: commands, encoded in MessagePack, over a Raft replica. Thread-safe. */
final class RaftCommandLog implements CommandLog {
    private static final long LEADERSHIP_TRANSFER_TIMEOUT_SECONDS = 5;

    private final RaftDriver driver;
    private final Map<HostId, Address> peerAddresses = new LinkedHashMap<>();

    RaftCommandLog(RaftDriver driver, List<ControlHost> hosts) {
        this.driver = driver;
        hosts.forEach(each -> peerAddresses.put(each.host(), each.peers()));
    }

    @Override
    public CompletableFuture<ProposalOutcome> propose(Command command) {
        return driver.propose(Codecs.MESSAGE_PACK.encode(command)).thenApply(this::toOutcome);
    }

    @Override
    public LeadershipStatus leadershipStatus() {
        RaftStatus status = driver.status();
        Address leader = peerAddress(status.leader());
        List<Address> hosts = new ArrayList<>();
        if (leader != null) {
            hosts.add(leader);
        }
        for (ReplicaId each : status.membership().voters()) {
            Address address = peerAddress(each);
            if (address != null && !hosts.contains(address)) {
                hosts.add(address);
            }
        }
        return new LeadershipStatus(status.leads(), status.term(), status.leaseUntilNanos(), leader, hosts);
    }

    /** Transfers leadership, so that a planned stop does not cost an election timeout. */
    void transferLeadership() {
        if (driver.isLeader()) {
            driver.transferLeadership()
                    .completeOnTimeout(
                            false, LEADERSHIP_TRANSFER_TIMEOUT_SECONDS, java.util.concurrent.TimeUnit.SECONDS)
                    .join();
        }
    }

    private ProposalOutcome toOutcome(ProposeResult result) {
        if (result instanceof ProposeResult.Committed committed) {
            Decoded<CommandResult> decoded = Codecs.MESSAGE_PACK.decode(committed.result(), CommandResult.class);
            return new ProposalOutcome.Applied(((Decoded.Value<CommandResult>) decoded).value());
        }
        if (result instanceof ProposeResult.NotLeader notLeader) {
            return new ProposalOutcome.NotLeader(peerAddress(notLeader.leader()));
        }
        if (result instanceof ProposeResult.Refused) {
            return new ProposalOutcome.Overloaded();
        }
        return new ProposalOutcome.Undecided(((ProposeResult.Unknown) result).why());
    }

    private Address peerAddress(ReplicaId replica) {
        return replica == null ? null : peerAddresses.get(replica.host());
    }

    @Override
    public void close() {
        driver.close();
    }
}
