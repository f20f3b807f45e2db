package org.elmline.bench.control;

import java.util.List;
import java.util.stream.IntStream;

import org.elmline.core.common.Address;
import org.elmline.core.common.ConfigVersion;
import org.elmline.core.control.Command;
import org.elmline.core.control.ControlState;
import org.elmline.core.control.LeaseAnswer;
import org.elmline.core.control.LeaseDecision;
import org.elmline.core.control.LeaseManager;
import org.elmline.core.control.LeaseRequest;
import org.elmline.core.control.LeaseSettings;
import org.elmline.wire.codec.Codecs;

/**
 * Renews leases of many entry hosts with one lease manager; messages are encoded as on the wire, but without frames.
 */
public final class LeaseCostExperiment {
    private static final int RENEWALS = 10_000;
    private static final long LEADER_UNTIL_NANOS = Long.MAX_VALUE / 2;

    private final ControlSamples samples = new ControlSamples();
    private final int objects;
    private final List<Address> controlHosts;

    public LeaseCostExperiment(int objects, int controlHosts) {
        this.objects = objects;
        this.controlHosts = IntStream.range(0, controlHosts)
                .mapToObj(i -> samples.host(i).peers())
                .toList();
    }

    public LeaseCost run(int entries) {
        ControlState state = samples.stateOf(objects);
        for (int i = 0; i < entries; i++) {
            state.apply(state.index() + 1, new Command.JoinHost(samples.host(i)));
        }
        LeaseManager leaseManager = new LeaseManager(state, LeaseSettings.DEFAULT, 0);
        ConfigVersion version = state.configuration().version();
        long members = state.membersVersion();
        LeaseRequest idle = new LeaseRequest(samples.host(entries - 1), version, members);
        LeaseRequest joining = new LeaseRequest(samples.host(entries - 1), ConfigVersion.of(0), 0);
        int requestBytes = Codecs.MESSAGE_PACK.encode(idle).length;
        int idleBytes = answerBytes(leaseManager, idle);
        int joinBytes = answerBytes(leaseManager, joining);
        Spread micros = Spread.of(() -> renewalMicros(leaseManager, entries, version, members) / RENEWALS);
        state.apply(state.index() + 1, samples.objectTicket(objects + 1L, ControlSamples.ROLE_OBJECT_INDEX));
        int objectBytes = answerBytes(leaseManager, idle);
        state.apply(state.index() + 1, new Command.JoinHost(samples.host(0)));
        LeaseRequest behind =
                new LeaseRequest(idle.host(), state.configuration().version(), members);
        return new LeaseCost(
                entries, requestBytes, idleBytes, objectBytes, answerBytes(leaseManager, behind), joinBytes, micros);
    }

    private double renewalMicros(LeaseManager leaseManager, int entries, ConfigVersion version, long members) {
        byte[][] requests = new byte[entries][];
        for (int i = 0; i < entries; i++) {
            requests[i] = Codecs.MESSAGE_PACK.encode(new LeaseRequest(samples.host(i), version, members));
        }
        long begin = System.nanoTime();
        long bytes = 0;
        for (int i = 0; i < RENEWALS; i++) {
            bytes += answerBytes(leaseManager, Decoding.decode(requests[i % entries], LeaseRequest.class));
        }
        if (bytes == 0) {
            throw new IllegalStateException("no bytes in the answers to " + RENEWALS + " renewals");
        }
        return (System.nanoTime() - begin) / 1e3;
    }

    private int answerBytes(LeaseManager leaseManager, LeaseRequest request) {
        LeaseDecision decision = leaseManager.renew(request, 0, LEADER_UNTIL_NANOS, controlHosts);
        LeaseAnswer answer = ((LeaseDecision.Answer) decision).answer();
        return Codecs.MESSAGE_PACK.encode((LeaseAnswer.Granted) answer).length;
    }
}
