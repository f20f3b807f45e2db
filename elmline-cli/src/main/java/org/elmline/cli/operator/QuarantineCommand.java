package org.elmline.cli.operator;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows, adds and releases quarantined parts of prompts. */
@Command(name = "quarantine", description = "Shows, adds or releases quarantined parts of prompts.")
final class QuarantineCommand implements ExitingCommand {
    private static final String PATH = "/quarantine";

    @Spec
    private CommandSpec spec;

    @Mixin
    private OperatorOptions operator;

    @Option(names = "--release", description = "serve calls with the group again")
    private boolean release;

    @Option(names = "--add", description = "refuse calls with the group until it is released")
    private boolean add;

    @Parameters(
            arity = "0..1",
            paramLabel = "SERVICE/PART+PART",
            description = "a service or model, and the parts that a call must have together; all records without it")
    private String target;

    @Override
    public ExitCode execute() {
        boolean changes = release || add;
        if (release && add || changes != (target != null)) {
            throw new ParameterException(
                    spec.commandLine(), "name a group with --release or --add, or none to show all");
        }
        return new AnswerPrinter(spec.commandLine()).print(send());
    }

    private OperatorAnswer send() {
        if (target == null) {
            return operator.client().get(PATH);
        }
        String path = PATH + "/" + target;
        return add
                ? operator.client().put(path, new byte[0])
                : operator.client().delete(path);
    }
}
