package org.elmline.core.dispatch;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.peer.Channel;

/** What entries ask of the dispatcher of a service, and what it tells them. */
public final class DispatchChannels {
    /** Asks for a place; answered at once, if need be with "queued". */
    public static final Channel<PlaceCall, PlaceAnswer> PLACE =
            new Channel<>("dispatch.place", PlaceCall.class, PlaceAnswer.class);

    /** Tells what became of attempts. */
    public static final Channel<Reports, Taken> REPORT = new Channel<>("dispatch.report", Reports.class, Taken.class);

    /** Tells a dispatcher of attempts that another one has granted. */
    public static final Channel<Adoption, Taken> ADOPT = new Channel<>("dispatch.adopt", Adoption.class, Taken.class);

    /** Tells an entry the decision on a call that waited. */
    public static final Channel<Decided, Taken> DECIDED = new Channel<>("dispatch.decided", Decided.class, Taken.class);

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
            List<ServerLimits.Named> limits) {
        public Adoption {
            shard = shard == null ? Shard.WHOLE : shard;
            open = open == null ? List.of() : List.copyOf(open);
            limits = limits == null ? List.of() : List.copyOf(limits);
        }

        public ServiceShard key() {
            return new ServiceShard(service, shard);
        }
    }

    /** A dispatcher's decision on a call that waited there. */
    public record Decided(HostId dispatcher, PlaceAnswer answer) {}

    /** Whether the receiver knew what it was told of. */
    public record Taken(boolean known) {}
}
