package org.elmline.cli.operator;

import com.fasterxml.jackson.databind.JsonNode;
import org.elmline.cli.ExitCode;
import picocli.CommandLine;

/** Prints an answer: the result on the standard output, errors on the standard error. */
final class AnswerPrinter {
    private final CommandLine command;

    AnswerPrinter(CommandLine command) {
        this.command = command;
    }

    ExitCode print(OperatorAnswer answer) {
        if (answer instanceof OperatorAnswer.Done done) {
            printBody(done.body());
        } else if (answer instanceof OperatorAnswer.Refused refused) {
            command.getErr().println("elmline: " + refused.status() + " " + ErrorText.of(refused.body()));
        } else if (answer instanceof OperatorAnswer.Unreachable unreachable) {
            command.getErr().println("elmline: " + unreachable.message());
        }
        return answer.exitCode();
    }

    void printBody(JsonNode body) {
        command.getOut().println(body.toPrettyString());
    }
}
