package org.elmline.daemon.gateway;

import java.util.function.Consumer;
import java.util.function.Function;

import com.codahale.metrics.MetricRegistry;
import io.undertow.client.ClientConnection;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.ServiceName;
import org.elmline.core.path.ServerPaths;
import org.elmline.core.registry.Registration;
import org.elmline.daemon.log.DecisionLog;

/** Links to the servers themselves. Records which of them this entry reaches. Used on the I/O thread only. */
final class DirectLinks implements ServerLinks {
    private final BackendConnectionPool connections;
    private final Function<BackendServerId, Registration> registrations;
    private final MonotonicClock clock;
    private final DecisionLog log;
    private final ServerPaths paths = new ServerPaths();

    /** @param registrations the latest registration of a server, null for an unknown one */
    DirectLinks(
            BackendConnectionPool connections,
            Function<BackendServerId, Registration> registrations,
            MonotonicClock clock,
            DecisionLog log,
            MetricRegistry metrics) {
        this.connections = connections;
        this.registrations = registrations;
        this.clock = clock;
        this.log = log;
        metrics.gauge("backend.paths.cut", () -> () -> paths.isAnyServiceCut() ? 1 : 0);
    }

    @Override
    public LinkSearch newSearch(BackendTarget target, boolean nonRepeatable) {
        return new Search(target, nonRepeatable);
    }

    @Override
    public void release(ServerLink link, int keepAliveSeconds) {
        connections.release(link.peer(), link.connection(), keepAliveSeconds);
    }

    @Override
    public boolean isCut(BackendServerId server) {
        ServiceName service = serviceOf(server);
        return service != null && paths.isCut(service, server);
    }

    /** Whether this entry has no path of its own to any server of the same service. */
    boolean isServiceCut(BackendServerId server) {
        ServiceName service = serviceOf(server);
        return service != null && paths.isCut(service);
    }

    /** Records that another entry could not connect to a server either. */
    void recordDown(BackendServerId server) {
        ServiceName service = serviceOf(server);
        if (service != null) {
            update(service, server, () -> paths.recordDown(service, server));
        }
    }

    /** Opens a connection to a server that counts as cut off, unless one was opened a moment ago. */
    void tryAgain(BackendTarget target) {
        ServiceName service = serviceOf(target.server());
        if (service == null || !paths.tryTrial(service, clock.nanos())) {
            return;
        }
        connections.open(target.address(), new BackendConnectionPool.AcquireCallback() {
            @Override
            public void onAcquired(ClientConnection connection, boolean opened) {
                recordConnected(target.server());
                connections.release(target.address(), connection, -1);
            }

            @Override
            public void onFailed(String why) {
                // The path stays cut until the next trial.
            }
        });
    }

    /** Records a new connection to a server. */
    void recordConnected(BackendServerId server) {
        ServiceName service = serviceOf(server);
        if (service != null) {
            update(service, server, () -> paths.recordConnected(service, server));
        }
    }

    /** Records that a server did not answer when this entry connected. */
    void recordUnreachable(BackendServerId server) {
        recordFailure(server, service -> paths.recordUnreachable(service, server));
    }

    /** Records that a connection to a server was refused. */
    void recordRefused(BackendServerId server) {
        recordFailure(server, service -> paths.recordRefused(service, server));
    }

    private void recordFailure(BackendServerId server, Consumer<ServiceName> change) {
        ServiceName service = serviceOf(server);
        if (service != null) {
            paths.retain(this::acceptsWork);
            update(service, server, () -> change.accept(service));
        }
    }

    private ServiceName serviceOf(BackendServerId server) {
        Registration registration = registrations.apply(server);
        return registration == null ? null : registration.service();
    }

    private boolean acceptsWork(BackendServerId server) {
        Registration registration = registrations.apply(server);
        return registration != null && registration.state().acceptsWork();
    }

    private void update(ServiceName service, BackendServerId server, Runnable change) {
        boolean wasCut = paths.isCut(service, server);
        boolean wasServiceCut = paths.isCut(service);
        change.run();
        boolean cut = paths.isCut(service, server);
        boolean serviceCut = paths.isCut(service);
        if (cut != wasCut || serviceCut != wasServiceCut) {
            log.line(cut ? "path to server lost" : "path to server regained")
                    .with("service", service)
                    .with("server", server)
                    .with("wholeService", serviceCut)
                    .write();
        }
    }

    /** One link, to the server itself. */
    private final class Search implements LinkSearch {
        private final BackendTarget target;
        private final boolean nonRepeatable;

        Search(BackendTarget target, boolean nonRepeatable) {
            this.target = target;
            this.nonRepeatable = nonRepeatable;
        }

        @Override
        public void next(Listener listener) {
            connections.acquire(target.address(), nonRepeatable, new BackendConnectionPool.AcquireCallback() {
                @Override
                public void onAcquired(ClientConnection connection, boolean opened) {
                    if (opened) {
                        recordConnected(target.server());
                    }
                    listener.onLink(new ServerLink(connection, target.address(), null));
                }

                @Override
                public void onFailed(String why) {
                    recordUnreachable(target.server());
                    listener.onNoLink(why, true);
                }

                @Override
                public void onRefused(String why) {
                    recordRefused(target.server());
                    listener.onNoLink(why, true);
                }
            });
        }

        @Override
        public void onRefused(ServerLink link, RelayRefusal refusal) {
            throw new IllegalStateException("a server does not refuse to forward");
        }

        @Override
        public void onRelayFailed(ServerLink link) {
            throw new IllegalStateException("no entry forwards on this link");
        }
    }
}
