package org.elmline.cli.operator;

import java.nio.file.Path;
import java.time.Duration;

import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.core.control.Ticket;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Sends a ticket. Sending the same one again is safe: it gives the recorded answer. */
@Command(name = "apply", description = "Sends a ticket; sending the same one again is safe.")
final class TicketApplyCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Mixin
    private OperatorOptions operator;

    @Parameters(paramLabel = "FILE", description = "the ticket, JSON: number, author, objects")
    private Path file;

    @Option(
            names = "--wait-seconds",
            paramLabel = "N",
            defaultValue = "0",
            description = "wait up to N seconds until it is in force everywhere; default: don't wait")
    private int waitSeconds;

    @Override
    public ExitCode execute() throws InterruptedException {
        Decoded<Ticket> decoded = new TicketFile(file).read();
        if (!(decoded instanceof Decoded.Value<Ticket> read)) {
            spec.commandLine().getErr().println(file + ": " + ((Decoded.Malformed<Ticket>) decoded).reason());
            return ExitCode.INVALID;
        }
        Ticket ticket = read.value();
        OperatorClient client = operator.client();
        OperatorAnswer answer = client.put(TicketPaths.of(ticket.number()), Codecs.JSON.encode(ticket));
        if (answer instanceof OperatorAnswer.Done && waitSeconds > 0) {
            answer = new InForcePoller(client, Duration.ofSeconds(waitSeconds)).await(ticket.number());
        }
        return new AnswerPrinter(spec.commandLine()).print(answer);
    }
}
