package org.elmline.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class MainTest {
    @TempDir
    Path folder;

    @ParameterizedTest
    @CsvSource(
            textBlock =
                    """
            USAGE,
            USAGE,no-such-command
            USAGE,ticket
            USAGE,settings
            USAGE,settings check
            USAGE,bench
            USAGE,bench http --target 192.0.2.1:80 --key k
            OK,bench decision --replicas 2
            USAGE,ticket show three --key k
            USAGE,ticket show -1 --key k
            USAGE,ticket show 3 --key k --operator ://
            USAGE,ticket show 3 --key-file no-such-file
            OK,--help
            OK,--version
            OK,ticket apply --help
            OK,generate-completion
            INVALID,settings check no-such-file
            INVALID,ticket apply no-such-file --key k
            UNREACHABLE,status --key k --operator http://127.0.0.1:1
            """)
    void returnsDocumentedExitCode(ExitCode expected, String line) {
        assertEquals(
                expected.code(),
                run(line == null ? new String[0] : line.split(" ")).code());
    }

    @Test
    void reportsInvalidTicketFileWithoutSendingIt() throws Exception {
        List<String> tickets = List.of(
                "{",
                "{\"number\":1,\"objects\":[]}",
                "{\"number\":1,\"objects\":[{\"kind\":\"planet\",\"name\":\"m\"}]}",
                "{\"number\":1,\"colour\":\"red\",\"objects\":[{\"kind\":\"service\",\"name\":\"s\",\"timeoutMillis\":1}]}");
        for (String ticket : tickets) {
            Path file = Files.writeString(folder.resolve("ticket.json"), ticket);
            Run run = run("ticket", "apply", file.toString(), "--key", "k", "--operator", "http://127.0.0.1:1");
            assertEquals(ExitCode.INVALID.code(), run.code(), () -> ticket + run);
            assertTrue(run.err().startsWith(file + ": "), run::toString);
        }
    }

    @Test
    void everyCommandHasHelpAndVersion() {
        List<String> lines = new ArrayList<>();
        collect(Main.commandLine(), "", lines);
        for (String line : lines) {
            assertEquals(0, run((line + " --help").strip().split(" ")).code(), line);
            assertTrue(run((line + " --version").strip().split(" ")).out().startsWith("elmline "), line);
        }
    }

    private static void collect(CommandLine command, String path, List<String> lines) {
        lines.add(path);
        command.getSubcommands().forEach((name, subcommand) -> {
            if (!name.equals("help")) {
                collect(subcommand, (path + " " + name).strip(), lines);
            }
        });
    }

    private static Run run(String... line) {
        StringWriter out = new StringWriter();
        StringWriter err = new StringWriter();
        CommandLine command = Main.commandLine();
        command.setOut(new PrintWriter(out, true)).setErr(new PrintWriter(err, true));
        int code = command.execute(line);
        return new Run(code, out.toString(), err.toString());
    }

    /** What one run of the program printed, and its exit code. */
    private record Run(int code, String out, String err) {}
}
