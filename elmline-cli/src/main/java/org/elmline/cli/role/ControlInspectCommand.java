package org.elmline.cli.role;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.SerializationFeature;
import org.elmline.cli.ExitCode;
import org.elmline.cli.ExitingCommand;
import org.elmline.storage.Inspection;
import org.elmline.storage.SystemFiles;
import org.elmline.wire.codec.Codecs;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** Shows what a control host's data folder holds, without changing it. */
@Command(name = "inspect", description = "Shows what a control host's data folder holds; changes nothing.")
final class ControlInspectCommand implements ExitingCommand {
    @Spec
    private CommandSpec spec;

    @Parameters(paramLabel = "DIR", description = "the data folder")
    private Path folder;

    @Override
    public ExitCode execute() throws JsonProcessingException {
        if (!Files.isDirectory(folder)) {
            spec.commandLine().getErr().println(folder + ": no such folder");
            return ExitCode.NOT_FOUND;
        }
        Inspection inspection;
        try {
            inspection = Inspection.of(new SystemFiles(), folder);
        } catch (IOException e) {
            spec.commandLine().getErr().println(folder + ": " + e);
            return ExitCode.FAILED;
        }
        String text =
                Codecs.jsonMapper().enable(SerializationFeature.INDENT_OUTPUT).writeValueAsString(inspection);
        spec.commandLine().getOut().println(text);
        return inspection.damages().isEmpty() ? ExitCode.OK : ExitCode.FAILED;
    }
}
