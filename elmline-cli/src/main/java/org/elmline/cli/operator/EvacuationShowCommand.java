package org.elmline.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows which failure domains are evacuated, and which entries have received that. */
@Command(
        name = "show",
        description = "Shows which failure domains are evacuated, which entries have received that, and the calls that"
                + " they still run on evacuated servers.")
final class EvacuationShowCommand implements ExitingCommand {
    private static final String DOMAINS = "failureDomains";

    @Spec
    private CommandSpec spec;

    @Mixin
    private EvacuationOptions options;

    @Parameters(arity = "0..1", paramLabel = "DOMAIN", description = "a failure domain; all without it")
    private String domain;

    @Override
    public ExitCode execute() {
        OperatorAnswer answer = options.client().get(EvacuationOptions.listPath());
        if (domain != null && answer instanceof OperatorAnswer.Done done) {
            return printDomain(done.body());
        }
        return new AnswerPrinter(spec.commandLine()).print(answer);
    }

    private ExitCode printDomain(JsonNode listing) {
        for (JsonNode each : listing.path(DOMAINS)) {
            if (each.path("failureDomain").asText().equals(domain)) {
                ObjectNode shown = listing.deepCopy();
                shown.putArray(DOMAINS).add(each);
                new AnswerPrinter(spec.commandLine()).printBody(shown);
                return ExitCode.OK;
            }
        }
        spec.commandLine().getErr().println("elmline: no such failure domain: " + domain);
        return ExitCode.NOT_FOUND;
    }
}
