package org.elmline.daemon.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.dispatch.AttemptReport;
import org.elmline.core.dispatch.DispatchAnswer;
import org.elmline.core.dispatch.DispatchCall;
import org.elmline.core.dispatch.DispatchChannels;
import org.elmline.core.dispatch.DispatchChannels.Adoption;
import org.elmline.core.dispatch.GrantHolders;
import org.elmline.core.dispatch.OpenGrant;
import org.elmline.core.dispatch.ServerNotice;
import org.elmline.core.dispatch.ServiceShard;
import org.elmline.core.peer.PeerNetwork;
import org.elmline.core.registry.EntryRecord;
import org.elmline.daemon.node.NodeSettings;
import org.xnio.XnioExecutor;

/**
 * Reports the attempts that this entry runs, and how they end, to the dispatchers that count them. Used on the I/O
 * thread only.
 */
final class GrantReporter {
    private final NodeSettings settings;
    private final long incarnation;
    private final PeerNetwork network;
    private final DispatchService localDispatch;
    private final ReportQueue reportQueue;
    private final Map<String, OpenGrant> openGrants = new HashMap<>();
    private final GrantHolders grantHolders = new GrantHolders();

    GrantReporter(
            NodeSettings settings,
            long incarnation,
            PeerNetwork network,
            DispatchService localDispatch,
            XnioExecutor thread) {
        this.settings = settings;
        this.incarnation = incarnation;
        this.network = network;
        this.localDispatch = localDispatch;
        this.reportQueue = new ReportQueue(settings, network, localDispatch, thread);
    }

    /** Records that a dispatcher is sent a request for a place, and so may count the call. */
    void addHolder(DispatchCall call, HostId dispatcher) {
        grantHolders.addHolder(call.attempt(), dispatcher);
    }

    void addGrant(DispatchCall call, DispatchAnswer.Granted granted) {
        openGrants.put(call.attempt(), new OpenGrant(call, granted, false));
    }

    /** Removes a call that was refused a place. */
    void removeRefused(DispatchCall call) {
        grantHolders.removeAttempt(call.attempt());
    }

    /**
     * Reports the first token, or the answer, of a granted call.
     *
     * @param notice what the server states about itself in the answer
     */
    void reportFirstToken(DispatchCall call, ServerNotice notice) {
        OpenGrant grant = openGrants.get(call.attempt());
        if (grant != null && !grant.writing() && call.promptTokens() > 0) {
            openGrants.put(call.attempt(), new OpenGrant(grant.call(), grant.granted(), true));
            reportProgress(call, AttemptReport.of(call.attempt(), null, notice));
        }
    }

    /** Sends a report on a call that goes on to all dispatchers that count it. */
    void reportProgress(DispatchCall call, AttemptReport report) {
        grantHolders.holdersOf(call.attempt()).forEach(each -> reportQueue.add(call.service(), each, report));
    }

    /** Reports the end of a call to all dispatchers that may hold a place or a queue entry for it. */
    void reportEnd(DispatchCall call, AttemptReport endReport) {
        openGrants.remove(call.attempt());
        grantHolders.removeAttempt(call.attempt()).forEach(each -> reportQueue.add(call.service(), each, endReport));
    }

    /** Keeps an attempt at one dispatcher and reports it as cancelled to the others. */
    void retainOnly(HostId dispatcher, DispatchCall call) {
        reportCancelled(call.service(), grantHolders.retainOnly(call.attempt(), dispatcher), call);
    }

    /** Reports an attempt as cancelled to a dispatcher that did not answer: it may have granted a place. */
    void cancelAt(HostId dispatcher, DispatchCall call) {
        grantHolders.removeHolder(call.attempt(), dispatcher);
        reportCancelled(call.service(), List.of(dispatcher), call);
    }

    private void reportCancelled(ServiceName service, List<HostId> dispatchers, DispatchCall call) {
        AttemptReport cancellation = new AttemptReport(call.attempt(), AttemptEnd.CANCELLED);
        dispatchers.forEach(each -> reportQueue.add(service, each, cancellation));
    }

    /** Hands all open grants on a shard over to its new dispatcher. Returns their number. */
    int handOver(ServiceShard shard, EntryRecord dispatcher) {
        List<OpenGrant> grants = openGrantsOn(shard);
        grants.forEach(each -> retainOnly(dispatcher.host(), each.call()));
        sendAdoption(dispatcher, adoption(shard, true, grants));
        return grants.size();
    }

    /** Sends all open grants on a shard to a dispatcher that is used in place of the first one. */
    void sendAll(ServiceShard shard, EntryRecord dispatcher) {
        List<OpenGrant> grants = openGrantsOn(shard);
        grants.forEach(each -> addHolder(each.call(), dispatcher.host()));
        sendAdoption(dispatcher, adoption(shard, true, grants));
    }

    /** Sends the open grant of one call to a further dispatcher, which must count it too. */
    void sendOne(ServiceShard shard, EntryRecord dispatcher, DispatchCall call) {
        addHolder(call, dispatcher.host());
        sendAdoption(dispatcher, adoption(shard, false, List.of(openGrants.get(call.attempt()))));
    }

    /** Number of open grants with a server that matches, a helper included. */
    int countOpen(Predicate<BackendServerId> servers) {
        int count = 0;
        for (OpenGrant each : openGrants.values()) {
            DispatchAnswer.Granted granted = each.granted();
            boolean matches = servers.test(granted.server())
                    || granted.helpers().stream().anyMatch(helper -> servers.test(helper.server()));
            count += matches ? 1 : 0;
        }
        return count;
    }

    private List<OpenGrant> openGrantsOn(ServiceShard shard) {
        return openGrants.values().stream()
                .filter(each -> each.call().service().equals(shard.service()))
                .filter(each -> shard.shard().contains(each.granted().server()))
                .toList();
    }

    private Adoption adoption(ServiceShard shard, boolean all, List<OpenGrant> grants) {
        return new Adoption(
                shard.service(),
                shard.shard(),
                settings.host(),
                incarnation,
                all,
                grants,
                localDispatch.observedLimits().all());
    }

    private void sendAdoption(EntryRecord dispatcher, Adoption adoption) {
        if (dispatcher.host().equals(settings.host())) {
            localDispatch.adopt(adoption);
            return;
        }
        // Reports that are still queued go first: arriving later, a cancellation would end a grant that is adopted now.
        reportQueue.flush();
        network.call(dispatcher.peers(), DispatchChannels.ADOPT, adoption, ReportQueue.SEND_TIMEOUT);
    }
}
