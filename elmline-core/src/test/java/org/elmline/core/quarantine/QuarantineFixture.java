package org.elmline.core.quarantine;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.ServiceName;

/** A registry with a clock, and reports as entries send them. */
final class QuarantineFixture {
    static final ServiceName DESK = ServiceName.of("desk");
    static final HostId ENTRY = HostId.of("10.0.0.1");

    final QuarantineRegistry registry = new QuarantineRegistry();
    private long now = Duration.ofHours(1).toNanos();
    private int crashes;
    private boolean leads = true;

    long now() {
        return now;
    }

    void advanceMillis(long millis) {
        now += Duration.ofMillis(millis).toNanos();
        registry.tick(now);
    }

    void advanceMinutes(long minutes) {
        advanceMillis(Duration.ofMinutes(minutes).toMillis());
    }

    void leads(boolean next) {
        leads = next;
    }

    static List<PromptPart> parts(String names) {
        return Arrays.stream(names.split(" ")).map(PromptPart::of).toList();
    }

    static PartGroup group(String names) {
        return new PartGroup(parts(names));
    }

    private void apply(List<ServerCrash> reported, List<PartPass> passes, List<GroupDemand> demands) {
        registry.apply(new EvidenceReport(ENTRY, reported, passes, demands, List.of()), leads, now);
    }

    /** A new server ends under a new request with these shared parts. */
    void crash(String names) {
        crashOfRequest("q" + crashes, names);
    }

    /** A new server ends under a request with these shared parts. */
    void crashOfRequest(String request, String names) {
        crash("s" + crashes, request, names);
    }

    void crash(String server, String request, String names) {
        crashes++;
        apply(
                List.of(new ServerCrash(request, DESK, BackendServerId.of(server), 1, parts(names), 0)),
                List.of(),
                List.of());
    }

    /** An answer to a prompt with these shared parts goes on. */
    void pass(String names) {
        List<PartPass> passes =
                parts(names).stream().map(each -> new PartPass(DESK, each, 0)).toList();
        apply(List.of(), passes, List.of());
    }

    /** An answer of the service goes on, to a prompt of which nothing is suspect. */
    void passOfOthers() {
        apply(List.of(), List.of(new PartPass(DESK, null, 0)), List.of());
    }

    void demand(String names) {
        apply(List.of(), List.of(), List.of(new GroupDemand(DESK, group(names))));
    }

    /** The groups in a stage, as text. */
    List<String> groups(QuarantineStage stage) {
        return registry.records(now).stream()
                .filter(each -> each.stage() == stage)
                .map(each -> each.group().toString())
                .toList();
    }

    QuarantineRecord record(String names) {
        return registry.records(now).stream()
                .filter(each -> each.group().equals(group(names)))
                .findFirst()
                .orElseThrow();
    }
}
