package org.elmline.daemon.control;

import java.io.IOException;
import java.net.InetSocketAddress;

import com.codahale.metrics.MetricRegistry;
import org.elmline.core.common.Address;
import org.elmline.core.common.Closer;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.control.ControlChannels;
import org.elmline.core.control.ControlLimits;
import org.elmline.core.control.LeaseSettings;
import org.elmline.core.timeline.HybridClock;
import org.elmline.daemon.runtime.SystemClock;
import org.elmline.daemon.runtime.Workers;
import org.elmline.daemon.settings.ControlSettings;
import org.elmline.daemon.settings.ListenAddress;
import org.elmline.wire.tcp.Handlers;
import org.elmline.wire.tcp.PeerKey;
import org.elmline.wire.tcp.PeerLimits;
import org.elmline.wire.tcp.TcpPeerServer;
import org.jboss.logging.Logger;

/** One control host. */
public final class ControlDaemon implements AutoCloseable {
    private static final Logger LOG = Logger.getLogger(ControlDaemon.class);
    private static final int MAX_STREAMS = 16;
    private static final long LEASE_GRACE_MILLIS = 500;

    private final Closer closer;
    private final Address peers;

    private ControlDaemon(Closer closer, Address peers) {
        this.closer = closer;
        this.peers = peers;
    }

    /** Opens everything and begins to serve; closes what was opened when any of it fails. */
    public static ControlDaemon start(ControlSettings settings) throws IOException {
        Closer closer = new Closer();
        try {
            return start(settings, closer);
        } catch (IOException | RuntimeException e) {
            closer.close();
            throw e;
        }
    }

    private static ControlDaemon start(ControlSettings settings, Closer closer) throws IOException {
        MonotonicClock clock = new SystemClock();
        MetricRegistry metrics = new MetricRegistry();
        HybridClock hybridClock = new HybridClock(System::currentTimeMillis);
        Workers workers = closer.register(new Workers("control", MAX_STREAMS));
        Handlers handlers = new Handlers(workers.handlers());
        ControlMachine machine = new ControlMachine();
        ListenAddress bind = settings.addresses().peers();
        TcpPeerServer server = closer.register(TcpPeerServer.start(
                new InetSocketAddress(bind.ip(), bind.port()),
                handlers,
                new PeerKey(settings.keys().peerKey().value()),
                PeerLimits.DEFAULT,
                workers.connections(),
                workers.timer(),
                hybridClock));
        Address peers = server.address(bind.ip());
        CommandLog log = closer.register(new SoloLog(machine, peers, clock));
        LeaseSettings leases = new LeaseSettings(settings.lease().leaseMillis(), LEASE_GRACE_MILLIS);
        LeaderWatch watch = new LeaderWatch(settings.host(), log, machine, clock, leases, ControlLimits.DEFAULT);
        register(handlers, log, machine, watch, clock, metrics);
        watch.start(workers.timer());
        LOG.infof("control host %s serves peers at %s", settings.host(), peers);
        return new ControlDaemon(closer, peers);
    }

    private static void register(
            Handlers handlers,
            CommandLog log,
            ControlMachine machine,
            LeaderWatch watch,
            MonotonicClock clock,
            MetricRegistry metrics) {
        LeaseService leases = new LeaseService(log, watch, clock, metrics);
        TicketService tickets = new TicketService(log, machine, watch, clock);
        ClaimService claims = new ClaimService(log, System::currentTimeMillis);
        handlers.register(ControlChannels.LEASE_RENEW, leases::renew);
        handlers.register(ControlChannels.TICKET_SUBMIT, tickets::submit);
        handlers.register(ControlChannels.TICKET_READ, tickets::read);
        handlers.register(ControlChannels.TICKET_LIST, tickets::list);
        handlers.register(ControlChannels.CLAIM_BEGIN, claims::begin);
        handlers.register(ControlChannels.CLAIM_FINISH, claims::finish);
    }

    /** Where other elmline processes connect. */
    public Address peers() {
        return peers;
    }

    @Override
    public void close() {
        closer.close();
    }
}
