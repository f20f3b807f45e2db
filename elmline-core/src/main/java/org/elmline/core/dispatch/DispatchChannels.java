package org.elmline.core.dispatch;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.peer.Channel;

/** Channels and messages between entries and the dispatcher of a service. */
public final class DispatchChannels {
    /** Requests placement of a call; answered at once, with {@link DispatchAnswer.Queued} if the call has to wait. */
    public static final Channel<DispatchCall, DispatchAnswer> PLACE =
            new Channel<>("dispatch.place", DispatchCall.class, DispatchAnswer.class);

    /** Reports first tokens and ends of attempts. */
    public static final Channel<Reports, Acknowledgement> REPORT =
            new Channel<>("dispatch.report", Reports.class, Acknowledgement.class);

    /** Reports to a dispatcher the attempts that another dispatcher has granted. */
    public static final Channel<Adoption, Acknowledgement> ADOPT =
            new Channel<>("dispatch.adopt", Adoption.class, Acknowledgement.class);

    /** Sends an entry the decision on a call that waited. */
    public static final Channel<QueuedDecision, Acknowledgement> DECIDED =
            new Channel<>("dispatch.decided", QueuedDecision.class, Acknowledgement.class);

    private DispatchChannels() {}

    /** First tokens and ends of attempts of one service. */
    public record Reports(ServiceName service, List<AttemptReport> reports) {
        public Reports {
            if (service == null) {
                throw new IllegalArgumentException("reports need their service");
            }
            reports = reports == null ? List.of() : List.copyOf(reports);
        }
    }

    /**
     * Attempts that one incarnation of an entry runs on one shard of a service.
     *
     * @param shard null means the whole service
     * @param all whether the list is complete, so that attempts counted beside it have ended. Not set with a single
     *     attempt, as the answer to another call may still be on its way to the entry.
     * @param limits rate limits that servers have reported to the entry
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
            if (service == null || host == null) {
                throw new IllegalArgumentException("an adoption needs service and host");
            }
            shard = shard == null ? Shard.WHOLE : shard;
            open = open == null ? List.of() : List.copyOf(open);
            limits = limits == null ? List.of() : List.copyOf(limits);
        }

        public ServiceShard serviceShard() {
            return new ServiceShard(service, shard);
        }
    }

    /** A dispatcher's decision on a call that waited in its queue. */
    public record QueuedDecision(HostId dispatcher, DispatchAnswer answer) {}

    /** Whether the receiver knew the attempts reported to it. */
    public record Acknowledgement(boolean known) {}
}
