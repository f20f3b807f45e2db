package org.elmline.bench.policy;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.List;

import org.elmline.bench.workload.PromptMix;
import org.elmline.bench.workload.Workload;
import org.elmline.core.common.LengthClass;
import org.elmline.core.placement.PlacementPolicies;
import org.elmline.core.placement.PlacementSettings;
import org.elmline.standin.model.EngineProfile;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Regression bounds on small deterministic runs. The figures are the same on any machine, so the bounds are tight. */
class PolicyBenchTest {
    private static final double SECONDS = 150;
    private static final EngineProfile PROFILE = EngineProfile.builder().build();

    private static Scenario scenario(PromptMix mix, double load, Fault fault, Variant variant) {
        return new Scenario(
                mix.engines(),
                PROFILE,
                new Workload(mix, PROFILE).generate(load, SECONDS, 5),
                SECONDS,
                fault,
                variant.settings(),
                5);
    }

    private static RunResult run(PromptMix mix, double load, Fault fault, Variant variant) {
        return variant.run(scenario(mix, load, fault, variant));
    }

    private static double shortP95(RunResult result) {
        return result.firstTokenSeconds(LengthClass.SHORT, 95);
    }

    @Test
    void sameOptionsGiveSameFigures() {
        RunResult first = run(PromptMix.ZRNO, 0.8, Fault.HALF_FAIL, Variant.defaultVariant());
        RunResult second = run(PromptMix.ZRNO, 0.8, Fault.HALF_FAIL, Variant.defaultVariant());
        for (LengthClass each : LengthClass.values()) {
            assertEquals(first.firstTokenSeconds(each, 99), second.firstTokenSeconds(each, 99));
        }
        assertEquals(first.jainIndex(), second.jainIndex());
        assertEquals(first.prefixHits(), second.prefixHits());
    }

    /** Target: short prompts keep their time to first token while long prompts share the fleet. */
    @Test
    void shortRequestsAreSlowedDownByLessThanAFifth() {
        for (PromptMix mix : PromptMix.values()) {
            Scenario shared = scenario(mix, 0.8, Fault.NONE, Variant.defaultVariant());
            double isolatedP95 = shortP95(Variant.defaultVariant().run(shared.shortOnly()));
            RunResult result = Variant.defaultVariant().run(shared);
            double slowdown = shortP95(result) / isolatedP95;
            assertTrue(slowdown <= 1.2, mix + ": " + slowdown);
            assertTrue(result.inLimitFraction() >= 0.999, mix + ": " + result.inLimitFraction());
            for (String blind : List.of("round-robin", "random", "least-requests", "power-of-two")) {
                double other = shortP95(run(mix, 0.8, Fault.NONE, Variant.lengthBlind(blind)));
                assertTrue(other > 3 * shortP95(result), mix + ", " + blind + ": " + other);
            }
        }
    }

    @Test
    void shortRequestsAreServedUnderOverloadAndFaults() {
        for (Fault each : Fault.values()) {
            RunResult result = run(PromptMix.SNOWPAW, 1.2, each, Variant.defaultVariant());
            assertTrue(result.inLimitFraction(LengthClass.SHORT) >= 0.99, each + ": " + result.inLimitFraction());
        }
    }

    /**
     * Every request must end by its time limit and every reservation must be released: {@link Simulation} checks both
     * at the end of each run.
     */
    @Test
    void everyPolicyEndsEveryRequest() {
        for (String name : PlacementPolicies.names()) {
            for (Fault fault : Fault.values()) {
                Variant variant = new Variant(name, name, PlacementSettings.defaults(), false);
                RunResult result = run(PromptMix.ZRNO, 1.2, fault, variant);
                assertEquals(0, result.openRequests(), name + ", " + fault);
            }
        }
    }

    /**
     * The daemons' owner, with its admission and ledger, in place of a policy alone: the slowdown of short prompts must
     * stay within the same bound.
     */
    @Test
    void ownerKeepsShortRequestsFast() {
        for (PromptMix mix : PromptMix.values()) {
            Variant owner = Variant.owner(PlacementPolicies.DEFAULT);
            Scenario shared = scenario(mix, 0.8, Fault.NONE, owner);
            double slowdown = shortP95(owner.run(shared)) / shortP95(owner.run(shared.shortOnly()));
            assertTrue(slowdown <= 1.2, mix + ": " + slowdown);
            for (Fault fault : Fault.values()) {
                RunResult result = run(mix, 1.2, fault, owner);
                assertEquals(0, result.openRequests());
                assertTrue(result.inLimitFraction(LengthClass.SHORT) >= 0.98, mix + ", " + fault);
            }
        }
    }

    @Test
    void tablesAndDecisionCostArePrinted() throws Exception {
        StringWriter printed = new StringWriter();
        PolicyOptions small = new PolicyOptions(List.of(PromptMix.SNOWPAW), List.of(0.8), 0, 20, List.of(1L), 2, null);
        new PolicyBench().run(small, new PrintWriter(printed, true));
        new DecisionCost().run(List.of(2), new PrintWriter(printed, true));
        String text = printed.toString();
        for (Variant each : Variant.all()) {
            assertTrue(text.contains("| " + each.title() + " |"), each.title());
        }
        assertTrue(text.contains("| two-ended | 2 |"));
    }
}
