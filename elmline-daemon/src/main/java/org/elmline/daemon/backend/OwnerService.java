package org.elmline.daemon.backend;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.elmline.core.backend.AnnounceAnswer;
import org.elmline.core.backend.Announcement;
import org.elmline.core.backend.BackendKind;
import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.LengthClass;
import org.elmline.core.common.ModelName;
import org.elmline.core.common.MonotonicClock;
import org.elmline.core.common.Refusal;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.ServiceName;
import org.elmline.core.control.HostRecord;
import org.elmline.core.peer.HandlerRegistry;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.route.Grant;
import org.elmline.core.route.GrantReport;
import org.elmline.core.route.GrantReportAnswer;
import org.elmline.core.route.ModelSummary;
import org.elmline.core.route.OwnerSummary;
import org.elmline.core.route.Ownership;
import org.elmline.core.route.PlaceAnswer;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.route.RouteChannels;
import org.elmline.core.route.ServiceReplica;
import org.elmline.daemon.entry.HostIdentity;
import org.elmline.daemon.entry.SharedView;
import org.elmline.daemon.settings.BackendSettings;

/** The backend servers that this entry owns, and the passing on of announcements to other owners. */
public final class OwnerService {
    private static final Duration FORWARD_TIMEOUT = Duration.ofMillis(500);
    private static final long RETRY_MILLIS = 1000;

    private final HostIdentity self;
    private final SharedView view;
    private final PeerNetwork network;
    private final MonotonicClock clock;
    private final BackendSettings settings;
    private final SummaryTable summaries;
    private final Map<BackendServerId, Heard> servers = new TreeMap<>();
    private long sequence;
    private int turn;

    private record Heard(Announcement announcement, long atMillis) {}

    public OwnerService(
            HostIdentity self,
            SharedView view,
            PeerNetwork network,
            MonotonicClock clock,
            BackendSettings settings,
            SummaryTable summaries) {
        this.self = self;
        this.view = view;
        this.network = network;
        this.clock = clock;
        this.settings = settings;
        this.summaries = summaries;
    }

    public void register(HandlerRegistry handlers) {
        handlers.register(RouteChannels.ANNOUNCE, this::forwarded);
        handlers.register(RouteChannels.PLACE, request -> CompletableFuture.completedFuture(place(request)));
        handlers.register(RouteChannels.RELEASE, report -> CompletableFuture.completedFuture(report(report)));
        handlers.register(RouteChannels.SUMMARY, summaries::receive);
    }

    public void start(ScheduledExecutorService timer) {
        timer.scheduleWithFixedDelay(this::sendSummaries, 200, 200, TimeUnit.MILLISECONDS);
    }

    /** Takes an announcement that a backend server made here. */
    public AnnounceAnswer announced(Announcement announcement) {
        List<HostRecord> owners = new Ownership(view.members().hosts()).candidates(announcement);
        if (owners.isEmpty() || owners.get(0).id().equals(self.host())) {
            take(announcement);
        } else {
            network.call(owners.get(0).peers(), RouteChannels.ANNOUNCE, announcement, FORWARD_TIMEOUT);
        }
        List<Address> next = new ArrayList<>();
        for (HostRecord each : owners.subList(0, Math.min(3, owners.size()))) {
            next.add(each.callers());
        }
        return new AnnounceAnswer(settings.announceMillis(), settings.leaseMillis(), next);
    }

    private CompletionStage<AnnounceAnswer> forwarded(Announcement announcement) {
        take(announcement);
        return CompletableFuture.completedFuture(
                new AnnounceAnswer(settings.announceMillis(), settings.leaseMillis(), List.of()));
    }

    private synchronized void take(Announcement announcement) {
        servers.put(announcement.id(), new Heard(announcement, clock.millis()));
    }

    /** Decides one placement on the engines owned here. */
    public synchronized PlaceAnswer place(PlaceRequest request) {
        List<Announcement> fit = new ArrayList<>();
        for (Announcement each : live(BackendKind.ENGINE)) {
            boolean serves = each.names().contains(request.demand().model().value());
            if (serves && !request.demand().excluded().contains(each.id())) {
                fit.add(each);
            }
        }
        if (fit.isEmpty()) {
            Refusal refusal = Refusal.comeBack(
                    RefusalReason.NO_BACKEND_SERVER, "no engine of this model is owned here", RETRY_MILLIS);
            return new PlaceAnswer.Refused(refusal, null);
        }
        turn++;
        Announcement chosen = fit.get(Math.floorMod(turn, fit.size()));
        return new PlaceAnswer.Placed(new Grant(
                request.attempt(),
                request.host(),
                request.incarnation(),
                request.organisation(),
                request.demand().model(),
                chosen.id(),
                chosen.incarnation(),
                chosen.address(),
                chosen.protocol(),
                request.demand().promptTokens(),
                request.demand().kvTokens(),
                0,
                0,
                request.demand().remainingMillis(),
                true));
    }

    public GrantReportAnswer report(GrantReport report) {
        return new GrantReportAnswer(report.releases().size());
    }

    private List<Announcement> live(BackendKind kind) {
        List<Announcement> found = new ArrayList<>();
        for (Heard each : servers.values()) {
            boolean fresh = clock.millis() - each.atMillis() < settings.leaseMillis();
            if (fresh && !each.announcement().leaving() && each.announcement().kind() == kind) {
                found.add(each.announcement());
            }
        }
        return found;
    }

    private void sendSummaries() {
        OwnerSummary summary = summary();
        summaries.receive(summary);
        for (HostRecord each : view.members().hosts()) {
            if (!each.id().equals(self.host())) {
                network.call(each.peers(), RouteChannels.SUMMARY, summary, FORWARD_TIMEOUT);
            }
        }
    }

    private synchronized OwnerSummary summary() {
        Map<String, ModelSummary> models = new TreeMap<>();
        for (Announcement each : live(BackendKind.ENGINE)) {
            for (String name : each.names()) {
                models.put(name, model(ModelName.of(name)));
            }
        }
        List<ServiceReplica> services = new ArrayList<>();
        for (Announcement each : live(BackendKind.SERVICE)) {
            for (String name : each.names()) {
                services.add(new ServiceReplica(ServiceName.of(name), each.id(), each.incarnation(), each.address()));
            }
        }
        sequence++;
        return new OwnerSummary(
                self.host(), self.incarnation(), sequence, List.of(), List.copyOf(models.values()), services);
    }

    private static ModelSummary model(ModelName name) {
        List<Integer> waits = new ArrayList<>();
        for (LengthClass each : LengthClass.values()) {
            waits.add(0);
        }
        return new ModelSummary(name, 1, waits, 1, Integer.MAX_VALUE, Integer.MAX_VALUE, List.of());
    }
}
