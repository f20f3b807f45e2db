package org.elmline.daemon.settings;

import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Tries every rule over several settings. */
final class CombinationChecks implements CombinationCheck {
    private static final List<CombinationCheck> ALL = List.of(
            new ShorterCheck("/lease/renewMillis", "/lease/leaseMillis", "or each lease ends before its renewal"),
            new ShorterCheck(
                    "/raft/electionMillis", "/lease/leaseMillis", "or every lease ends while a leader is elected"),
            new ShorterCheck("/raft/heartbeatMillis", "/raft/electionMillis", "or a live leader is voted out"),
            new ShorterCheck(
                    "/backend/announceMillis", "/backend/leaseMillis", "or live backend servers are taken for lost"),
            new NotLongerCheck("/callers/defaultTimeoutMillis", "/callers/maxTimeoutMillis"),
            new AddressCheck(),
            new ControlHostsCheck(),
            new OwnControlHostCheck(),
            new KeysCheck(),
            new PolicyCheck());

    @Override
    public void check(ObjectNode settings, Consumer<Problem> problems) {
        for (CombinationCheck each : ALL) {
            each.check(settings, problems);
        }
    }
}
