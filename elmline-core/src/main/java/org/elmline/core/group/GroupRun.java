package org.elmline.core.group;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.KvExport;
import org.elmline.core.placement.Demand;
import org.elmline.core.placement.EnginePriority;
import org.elmline.core.route.Grant;
import org.elmline.core.route.PlaceRequest;
import org.elmline.core.stream.Cancel;

/**
 * Runs a reserved group. Each engine in turn imports the preceding segments, then prefills its own segment and exports
 * it; the last engine streams the answer instead. Exports are kept until the answer is complete, since later engines
 * attend to them. When the run ends for any reason, each engine receives cancels for everything that it might hold,
 * also for calls that were never answered; a grant is released only after its engine has acknowledged all of them or
 * was lost. Not thread-safe.
 */
public final class GroupRun {
    private final PlaceRequest wholeRequest;
    private final List<Grant> grants;
    private final GroupPlan plan;
    private final List<String> segmentTexts;
    private final List<KvExport> exports = new ArrayList<>();
    private final Map<BackendServerId, Set<Cancel>> unacknowledged = new HashMap<>();
    private final Set<BackendServerId> released = new HashSet<>();
    private int imported;
    private boolean ended;

    public GroupRun(PlaceRequest whole, GroupPlan plan, List<Grant> grants, String prompt) {
        if (grants.size() != plan.segments().size()) {
            throw new IllegalArgumentException("group run has " + grants.size() + " grants for "
                    + plan.segments().size() + " segments");
        }
        this.wholeRequest = whole;
        this.plan = plan;
        this.grants = List.copyOf(grants);
        this.segmentTexts = plan.split(prompt);
    }

    /**
     * The call to make next. Returns the same call until it is answered, and empty once the run has ended.
     *
     * @param delivered pieces that the caller has received from an earlier attempt
     */
    public Optional<GroupStep> nextStep(List<String> delivered) {
        if (ended) {
            return Optional.empty();
        }
        int index = exports.size();
        Grant grant = grants.get(index);
        if (imported < index) {
            return Optional.of(new GroupStep.ImportKv(grant, exports.get(imported), grants.get(imported)));
        }
        if (index < grants.size() - 1) {
            return Optional.of(new GroupStep.ExportKv(grant, engineRequest(index, 0, List.of())));
        }
        return Optional.of(new GroupStep.StreamAnswer(
                grant, engineRequest(index, wholeRequest.demand().maxOutputTokens(), delivered)));
    }

    /** Records that the import returned by {@link #nextStep} is complete. */
    public void imported() {
        if (!ended) {
            imported++;
        }
    }

    /** Records that the segment returned by {@link #nextStep} was prefilled and exported. */
    public void exported(KvExport export) {
        if (!ended) {
            exports.add(export);
            imported = 0;
        }
    }

    /**
     * Ends the run: the answer is complete, a call failed, the caller disconnected or the deadline passed. Returns the
     * cancels for all engines; further calls return those not yet acknowledged.
     */
    public List<Cancel> end() {
        if (!ended) {
            ended = true;
            grants.forEach(each -> unacknowledged.put(each.server(), cancelsFor(each)));
        }
        List<Cancel> all = new ArrayList<>();
        grants.forEach(each -> all.addAll(unacknowledged.get(each.server())));
        return all;
    }

    /** Records an acknowledged cancel. Returns the grant to release if this was the last cancel of its engine. */
    public Optional<Grant> freed(Cancel cancel) {
        Set<Cancel> pending = unacknowledged.get(cancel.server());
        if (pending == null || !pending.remove(cancel) || !pending.isEmpty() || !released.add(cancel.server())) {
            return Optional.empty();
        }
        return grants.stream()
                .filter(each -> each.server().equals(cancel.server()))
                .findFirst();
    }

    /**
     * After {@link #end}, records that the engine's incarnation ended, and with it all its memory. Returns the grant to
     * release, empty if it was returned before. Before {@link #end} it does nothing.
     */
    public Optional<Grant> engineLost(BackendServerId server) {
        Set<Cancel> pending = unacknowledged.get(server);
        if (pending == null || !released.add(server)) {
            return Optional.empty();
        }
        pending.clear();
        return grants.stream().filter(each -> each.server().equals(server)).findFirst();
    }

    /** The grants of the group's engines, in the order of the segments. */
    public List<Grant> grants() {
        return grants;
    }

    /** Whether the run ended and every grant was returned for release. */
    public boolean isDone() {
        return ended && released.size() == grants.size();
    }

    /** Index of the segment being prefilled, from 0. */
    public int currentSegment() {
        return exports.size();
    }

    private Set<Cancel> cancelsFor(Grant grant) {
        Set<Cancel> cancels = new LinkedHashSet<>();
        cancels.add(Cancel.stream(grant.server(), grant.attempt()));
        for (KvExport each : exports) {
            cancels.add(Cancel.export(grant.server(), each.attempt(), each.id()));
        }
        return cancels;
    }

    private EngineRequest engineRequest(int index, int maxOutputTokens, List<String> delivered) {
        Demand demand = wholeRequest.demand();
        Segment segment = plan.segments().get(index);
        return new EngineRequest(
                grants.get(index).attempt(),
                wholeRequest.host(),
                wholeRequest.incarnation(),
                demand.model(),
                demand.adapter(),
                segmentTexts.get(index),
                segment.contextTokens() + segment.promptTokens(),
                maxOutputTokens,
                EnginePriority.of(demand.lengthClass()),
                delivered,
                exports.stream().map(KvExport::id).toList());
    }
}
