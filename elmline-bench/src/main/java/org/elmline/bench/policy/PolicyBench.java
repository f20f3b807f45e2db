package org.elmline.bench.policy;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.elmline.bench.workload.Arrival;
import org.elmline.bench.workload.PromptMix;
import org.elmline.bench.workload.Workload;
import org.elmline.core.common.LengthClass;
import org.elmline.standin.model.EngineProfile;

/**
 * Measures every placement variant on the same requests, for both fleets, every load and every fault. Deterministic:
 * the same options give the same figures on any machine.
 */
public final class PolicyBench {
    private final EngineProfile profile = EngineProfile.builder().build();

    /** Runs the measurement, prints its tables and writes them with plots to the options' folder. */
    public void run(PolicyOptions options, PrintWriter out) throws IOException, InterruptedException {
        List<ResultRow> rows = measure(options);
        String tables = new MarkdownTables(rows).markdown();
        out.print(tables);
        if (options.output() != null) {
            new ReportWriter(options.output()).write(rows, tables);
        }
    }

    List<ResultRow> measure(PolicyOptions options) throws InterruptedException {
        List<MeasurementPoint> points = new ArrayList<>();
        for (PromptMix mix : options.mixes()) {
            for (double load : options.loads()) {
                points.add(new MeasurementPoint(mix, load, Fault.NONE));
            }
            for (Fault fault : Fault.values()) {
                if (fault != Fault.NONE && options.faultLoad() > 0) {
                    points.add(new MeasurementPoint(mix, options.faultLoad(), fault));
                }
            }
        }
        ExecutorService pool = Executors.newFixedThreadPool(options.threads());
        try {
            List<ResultRow> rows = new ArrayList<>();
            for (MeasurementPoint each : points) {
                rows.addAll(rows(each, options, pool));
            }
            return rows;
        } finally {
            pool.shutdownNow();
        }
    }

    private record MeasurementPoint(PromptMix mix, double load, Fault fault) {
        MeasurementPoint withoutFaults() {
            return new MeasurementPoint(mix, load, Fault.NONE);
        }
    }

    private List<ResultRow> rows(MeasurementPoint point, PolicyOptions options, ExecutorService pool)
            throws InterruptedException {
        List<List<Arrival>> arrivals = new ArrayList<>();
        for (long seed : options.seeds()) {
            arrivals.add(new Workload(point.mix(), profile).generate(point.load(), options.seconds(), seed));
        }
        List<Variant> variants = Variant.all();
        List<Callable<RunResult>> shared = new ArrayList<>();
        List<Callable<RunResult>> shortOnlyRuns = new ArrayList<>();
        for (Variant each : variants) {
            shared.add(() -> result(point, options, arrivals, each, false));
            shortOnlyRuns.add(() -> result(point.withoutFaults(), options, arrivals, each, true));
        }
        List<Future<RunResult>> sharedResults = pool.invokeAll(shared);
        List<Future<RunResult>> shortOnlyResults = pool.invokeAll(shortOnlyRuns);
        double isolatedShortSeconds = Double.POSITIVE_INFINITY;
        for (Future<RunResult> each : shortOnlyResults) {
            isolatedShortSeconds =
                    Math.min(isolatedShortSeconds, resultOf(each).firstTokenSeconds(LengthClass.SHORT, 95));
        }
        List<ResultRow> rows = new ArrayList<>();
        for (int i = 0; i < variants.size(); i++) {
            rows.add(new ResultRow(
                    point.mix(),
                    point.load(),
                    point.fault(),
                    variants.get(i),
                    resultOf(sharedResults.get(i)),
                    isolatedShortSeconds));
        }
        return rows;
    }

    private RunResult result(
            MeasurementPoint point,
            PolicyOptions options,
            List<List<Arrival>> arrivals,
            Variant variant,
            boolean shortOnly) {
        RunResult merged = null;
        for (int i = 0; i < arrivals.size(); i++) {
            Scenario scenario = new Scenario(
                    point.mix().engines(),
                    profile,
                    arrivals.get(i),
                    options.seconds(),
                    point.fault(),
                    variant.settings(),
                    options.seeds().get(i));
            RunResult result = variant.run(shortOnly ? scenario.shortOnly() : scenario);
            if (merged == null) {
                merged = result;
            } else {
                merged.merge(result);
            }
        }
        return merged;
    }

    private static RunResult resultOf(Future<RunResult> future) throws InterruptedException {
        try {
            return future.get();
        } catch (ExecutionException e) {
            throw new IllegalStateException("simulation run failed", e.getCause());
        }
    }
}
