package org.elmline.cli.explain;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.elmline.cli.ExitCode;
import org.elmline.wire.codec.Codecs;
import picocli.CommandLine;

/** Reads the JSON lines of log files. */
final class LogFileReader {
    private static final ObjectMapper MAPPER = Codecs.jsonMapper();

    private LogFileReader() {}

    /** Reads the files in order; reports one that can't be read on the command's error output. */
    static ExitCode read(List<Path> files, CommandLine command, Consumer<JsonNode> consumer) {
        for (Path each : files) {
            try (Stream<String> lines = Files.lines(each, StandardCharsets.ISO_8859_1)) {
                lines.forEach(line -> parse(line).ifPresent(consumer));
            } catch (IOException e) {
                command.getErr().println(each + " cannot be read: " + e);
                return ExitCode.INVALID;
            }
        }
        return ExitCode.OK;
    }

    /** Ignores text before the JSON object, and lines without one. */
    private static Optional<JsonNode> parse(String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        try {
            JsonNode parsed = MAPPER.readTree(line.substring(start));
            return Optional.of(parsed).filter(each -> each.path("event").isTextual());
        } catch (JsonProcessingException e) {
            // A line of another program, or a truncated one.
            return Optional.empty();
        }
    }
}
