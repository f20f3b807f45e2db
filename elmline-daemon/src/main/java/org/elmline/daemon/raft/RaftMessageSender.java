package org.elmline.daemon.raft;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.CallResult;
import org.elmline.core.common.HostId;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.raft.Message;
import org.elmline.core.raft.ReplicaId;

/**
 * Sends messages to the hosts of other replicas, those of one step to one host together. Lost messages are not resent.
 * Used by the log's thread; answers to join requests arrive on the network's threads.
 */
final class RaftMessageSender {
    private final PeerNetwork network;
    private final Function<HostId, Address> addresses;
    private final Duration timeout;
    private final Counter sent;
    private final Counter unsent;
    private final Counter entryBytes;

    RaftMessageSender(
            PeerNetwork network, Function<HostId, Address> addresses, Duration timeout, MetricRegistry metrics) {
        this.network = network;
        this.addresses = addresses;
        this.timeout = timeout;
        this.sent = metrics.counter("raft.messages.sent");
        this.unsent = metrics.counter("raft.messages.unsent");
        this.entryBytes = metrics.counter("raft.entries.bytes.sent");
    }

    void send(List<Message> messages) {
        Map<HostId, List<Message>> byHost = new LinkedHashMap<>();
        for (Message each : messages) {
            if (each instanceof Message.AppendRequest request) {
                request.entries().forEach(entry -> entryBytes.inc(entry.sizeBytes()));
            }
            byHost.computeIfAbsent(each.to().host(), host -> new ArrayList<>()).add(each);
        }
        byHost.forEach(this::send);
    }

    private void send(HostId host, List<Message> messages) {
        Address address = addresses.apply(host);
        boolean accepted =
                address != null && network.send(address, RaftChannels.MESSAGES, new RaftChannels.Messages(messages));
        (accepted ? sent : unsent).inc(messages.size());
    }

    /** Messages and bytes of entries sent since the start, for the log. */
    String totals() {
        return sent.getCount() + " messages sent, " + unsent.getCount() + " dropped, " + entryBytes.getCount()
                + " bytes of entries";
    }

    /** Sends a join request to these hosts; a host that does not answer is ignored. */
    void requestJoin(List<Address> hosts, ReplicaId self, Consumer<RaftChannels.JoinAnswer> answers) {
        for (Address each : hosts) {
            network.call(each, RaftChannels.JOIN, new RaftChannels.Join(self), timeout)
                    .thenAccept(result -> {
                        if (result instanceof CallResult.Answered<RaftChannels.JoinAnswer> answered) {
                            answers.accept(answered.value());
                        }
                    });
        }
    }
}
