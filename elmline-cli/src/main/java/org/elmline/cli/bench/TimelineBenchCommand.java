package org.elmline.cli.bench;

import java.io.PrintWriter;

import org.elmline.bench.timeline.ClockOrderExperiment;
import org.elmline.bench.timeline.ClockOrderResult;
import org.elmline.bench.timeline.ClockOrderSetup;
import org.elmline.bench.timeline.StampBytes;
import org.elmline.bench.timeline.StampCostExperiment;
import org.elmline.bench.timeline.StampCostResult;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares the clocks that may order the time line, and measures the cost of a stamp. */
@Command(name = "timeline", description = "Counts effects shown before their cause by each clock, and times a stamp.")
final class TimelineBenchCommand implements ExitingCommand {
    private static final double[] SKEWS_MILLIS = {0.5, 1, 2, 5, 10, 20, 50};
    private static final int[] THREAD_COUNTS = {1, 4};
    private static final int CALLS_PER_ROUND = 500_000;
    private static final int PERCENT = 100;

    @Spec
    private CommandSpec spec;

    @Option(names = "--hosts", defaultValue = "18", description = "hosts; default: ${DEFAULT-VALUE}")
    private int hosts;

    @Option(
            names = "--latency-micros",
            defaultValue = "500",
            description = "mean one-way latency in microseconds; default: ${DEFAULT-VALUE}")
    private int latencyMicros;

    @Option(names = "--messages", defaultValue = "200000", description = "messages; default: ${DEFAULT-VALUE}")
    private int messages;

    @Option(
            names = "--gap-micros",
            defaultValue = "100",
            description = "mean time between two messages in the deployment; default: ${DEFAULT-VALUE}")
    private int gapMicros;

    @Option(names = "--seed", defaultValue = "1", description = "random seed; default: ${DEFAULT-VALUE}")
    private long seed;

    @Override
    public ExitCode execute() throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        out.printf("%d hosts, %d messages, one-way latency %d us%n", hosts, messages, latencyMicros);
        out.println("skew ms   wall inversions   share %   hybrid inversions   hybrid ahead of own wall clock, ms");
        for (double skew : SKEWS_MILLIS) {
            ClockOrderResult result = ClockOrderExperiment.run(
                    new ClockOrderSetup(hosts, skew, latencyMicros, gapMicros, messages, seed));
            out.printf(
                    "%7.1f %17d %9.2f %19d %12d%n",
                    skew,
                    result.wallInversions(),
                    PERCENT * result.wallInversionRate(),
                    result.hybridInversions(),
                    result.maxAheadMillis());
        }
        out.println("threads   wall clock ns   hybrid stamp ns   merge ns   recorded event ns");
        for (int threads : THREAD_COUNTS) {
            StampCostResult cost = new StampCostExperiment(threads, CALLS_PER_ROUND).run();
            out.printf(
                    "%7d %15.1f %17.1f %10.1f %19.1f%n",
                    threads, cost.wallNanos(), cost.stampNanos(), cost.mergeNanos(), cost.recordNanos());
        }
        out.printf("bytes a stamp adds to a message: %d%n", StampBytes.perMessage());
        return ExitCode.OK;
    }
}
