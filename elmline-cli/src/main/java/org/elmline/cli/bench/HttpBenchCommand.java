package org.elmline.cli.bench;

import java.io.PrintWriter;
import java.time.Duration;
import java.util.List;

import org.elmline.bench.http.HttpLoad;
import org.elmline.bench.http.HttpLoadOptions;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.core.common.Address;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Sends open-loop load to entries on loopback. */
@Command(
        name = "http",
        description =
                "Sends completions at set times and counts latency from each one's intended start; loopback only.")
final class HttpBenchCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Option(names = "--target", required = true, split = ",", description = "callers' addresses, 127.0.0.1:PORT")
    private List<String> targets;

    @Option(names = "--key", required = true, description = "API key of an organisation")
    private String key;

    @Option(names = "--model", defaultValue = "elm-small", description = "model; default: ${DEFAULT-VALUE}")
    private String model;

    @Option(names = "--rate", defaultValue = "10", description = "requests a second; default: ${DEFAULT-VALUE}")
    private double rate;

    @Option(names = "--seconds", defaultValue = "10", description = "length of the run; default: ${DEFAULT-VALUE}")
    private int seconds;

    @Option(names = "--max-in-flight", defaultValue = "256", description = "open requests; default: ${DEFAULT-VALUE}")
    private int maxInFlight;

    @Option(
            names = "--prompt-tokens",
            split = ",",
            defaultValue = "1000",
            description = "prompt lengths, used in turn; default: ${DEFAULT-VALUE}")
    private List<Integer> promptTokens;

    @Option(names = "--max-tokens", defaultValue = "64", description = "longest answer; default: ${DEFAULT-VALUE}")
    private int maxTokens;

    @Option(names = "--timeout-seconds", defaultValue = "60", description = "of a request; default: ${DEFAULT-VALUE}")
    private int timeoutSeconds;

    @Override
    public ExitCode execute() throws InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        new HttpLoad().run(options(), out);
        out.flush();
        return ExitCode.OK;
    }

    private HttpLoadOptions options() {
        try {
            return new HttpLoadOptions(
                    targets.stream().map(Address::parse).toList(),
                    key,
                    model,
                    rate,
                    Duration.ofSeconds(seconds),
                    (int) Math.ceil(rate * seconds),
                    maxInFlight,
                    promptTokens,
                    maxTokens,
                    Duration.ofSeconds(timeoutSeconds));
        } catch (IllegalArgumentException e) {
            throw new ParameterException(spec.commandLine(), e.getMessage(), e);
        }
    }
}
