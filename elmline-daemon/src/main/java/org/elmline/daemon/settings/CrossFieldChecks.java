package org.elmline.daemon.settings;

import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.node.ObjectNode;

/** Applies every rule over several settings. */
final class CrossFieldChecks implements CrossFieldCheck {
    private static final List<CrossFieldCheck> ALL = List.of(
            new LessThanCheck("/lease/renewMillis", "/lease/leaseMillis", "or each lease ends before its renewal"),
            new LessThanCheck(
                    "/raft/electionMillis", "/lease/leaseMillis", "or every lease ends while a leader is elected"),
            new LessThanCheck("/raft/heartbeatMillis", "/raft/electionMillis", "or a live leader is voted out"),
            new LessThanCheck(
                    "/backend/announceMillis", "/backend/leaseMillis", "or live backend servers are taken for lost"),
            new AtMostCheck("/callers/defaultTimeoutMillis", "/callers/maxTimeoutMillis"),
            new AddressCheck(),
            new ControlHostsCheck(),
            new OwnControlHostCheck(),
            new DistinctKeysCheck(),
            new PlacementPolicyCheck());

    @Override
    public void check(ObjectNode settings, Consumer<SettingsProblem> problems) {
        for (CrossFieldCheck each : ALL) {
            each.check(settings, problems);
        }
    }
}
