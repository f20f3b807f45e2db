package org.elmline.cli.bench;

import java.io.PrintWriter;

import org.elmline.bench.control.ApplyCostExperiment;
import org.elmline.bench.control.LeaseCost;
import org.elmline.bench.control.LeaseCostExperiment;
import org.elmline.bench.control.Spread;
import org.elmline.bench.control.StateCostExperiment;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Measures the control state in one process, with no log, disk or network. */
@Command(name = "control", description = "Times commands and lease renewals; sizes messages, snapshots and memory.")
final class ControlBenchCommand implements ExitingCommand {
    private static final int[] ENTRY_COUNTS = {18, 72, 180, 370};
    private static final int[] OBJECT_COUNTS = {1_000, 8_000};
    private static final int[] BATCH_SIZES = {1, 100};
    private static final int CLAIM_COUNT = 1_000;

    @Spec
    private CommandSpec spec;

    @Option(
            names = "--objects",
            defaultValue = "1000",
            description = "configuration objects behind the lease renewals; default: ${DEFAULT-VALUE}")
    private int objects;

    @Option(names = "--control-hosts", defaultValue = "5", description = "control hosts; default: ${DEFAULT-VALUE}")
    private int controlHosts;

    @Override
    public ExitCode execute() {
        PrintWriter out = spec.commandLine().getOut();
        out.println("median (lowest to highest) of 9 rounds after 3 of warm-up");
        measureCommands(out, new ApplyCostExperiment());
        measureLeases(out, new LeaseCostExperiment(objects, controlHosts));
        measureState(out, new StateCostExperiment());
        return ExitCode.OK;
    }

    private static void measureCommands(PrintWriter out, ApplyCostExperiment experiment) {
        for (int each : OBJECT_COUNTS) {
            printSpread(out, "one ticket over " + each + " objects, us", experiment.ticketMicros(each));
        }
        for (int each : BATCH_SIZES) {
            printSpread(
                    out, "one claim begun and finished, " + each + " to a command, us", experiment.claimMicros(each));
            out.printf("  log bytes of it: %.0f%n", experiment.claimLogBytes(each));
        }
        out.printf("log bytes of a ticket on one role: %d%n", experiment.ticketLogBytes());
    }

    private void measureLeases(PrintWriter out, LeaseCostExperiment experiment) {
        out.printf("bytes of a renewal over %d objects, unframed%n", objects);
        out.println("entries  request  idle answer  one role changed  one host changed     join");
        for (int each : ENTRY_COUNTS) {
            LeaseCost cost = experiment.run(each);
            out.printf(
                    "%7d %8d %12d %17d %17d %8d%n",
                    each,
                    cost.requestBytes(),
                    cost.idleBytes(),
                    cost.objectBytes(),
                    cost.memberBytes(),
                    cost.joinBytes());
            printSpread(out, "  leader's time for an idle renewal, us", cost.renewMicros());
        }
    }

    private static void measureState(PrintWriter out, StateCostExperiment experiment) {
        for (int each : OBJECT_COUNTS) {
            printSpread(
                    out, "heap of " + each + " objects with their tickets, bytes", experiment.objectHeapBytes(each));
            printSpread(out, "  snapshot taken and encoded, us", experiment.snapshotMicros(each));
            printSpread(out, "  snapshot decoded and restored, us", experiment.restoreMicros(each));
            out.printf("  snapshot bytes: %d%n", experiment.snapshotBytes(each));
        }
        printSpread(out, "heap of " + CLAIM_COUNT + " recorded claims, bytes", experiment.claimHeapBytes(CLAIM_COUNT));
        out.printf("  snapshot bytes: %d%n", experiment.claimSnapshotBytes(CLAIM_COUNT));
    }

    private static void printSpread(PrintWriter out, String what, Spread spread) {
        out.printf("%s: %.1f (%.1f to %.1f)%n", what, spread.median(), spread.lowest(), spread.highest());
        out.flush();
    }
}
