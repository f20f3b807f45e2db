package org.elmline.core.dispatch;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.peer.Channel;

/** What entries ask of the dispatcher of a service, and what it tells them. */
public final class DispatchChannels {
    /** Asks for a place; answered at once, if need be with "queued". */
    public static final Channel<DispatchCall, DispatchAnswer> PLACE =
            new Channel<>("dispatch.place", DispatchCall.class, DispatchAnswer.class);

    /** Tells what became of attempts. */
    public static final Channel<Reports, Acknowledgement> REPORT =
            new Channel<>("dispatch.report", Reports.class, Acknowledgement.class);

    /** Tells a dispatcher of attempts that another one has granted. */
    public static final Channel<Adoption, Acknowledgement> ADOPT =
            new Channel<>("dispatch.adopt", Adoption.class, Acknowledgement.class);

    /** Tells an entry the decision on a call that waited. */
    public static final Channel<QueuedDecision, Acknowledgement> DECIDED =
            new Channel<>("dispatch.decided", QueuedDecision.class, Acknowledgement.class);

    private DispatchChannels() {}

    /** Ends and first tokens of attempts of one service. */
    public record Reports(ServiceName service, List<AttemptReport> reports) {}

    /**
     * Attempts that a start of an entry runs on one shard of a service.
     *
     * @param shard all of the service when it is not told
     * @param all whether these are all: what is counted beside them has ended. Not so for a single one, as the answer to
     *     another call may be on its way to the entry.
     * @param limits the limits that servers have named to the entry
     */
    public record Adoption(
            ServiceName service,
            Shard shard,
            HostId host,
            long incarnation,
            boolean all,
            List<OpenGrant> open,
            List<ServerRateLimits.ReportedLimit> limits) {
        public Adoption {
            shard = shard == null ? Shard.WHOLE : shard;
            open = open == null ? List.of() : List.copyOf(open);
            limits = limits == null ? List.of() : List.copyOf(limits);
        }

        public ServiceShard serviceShard() {
            return new ServiceShard(service, shard);
        }
    }

    /** A dispatcher's decision on a call that waited there. */
    public record QueuedDecision(HostId dispatcher, DispatchAnswer answer) {}

    /** Whether the receiver knew what it was told of. */
    public record Acknowledgement(boolean known) {}
}
