package org.elmline.cli.explain;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.elmline.cli.Main;
import picocli.CommandLine;

/** Runs commands of the program and keeps what they print. */
final class CommandRun {
    private final StringWriter out = new StringWriter();

    /** Returns the exit code. */
    int run(String... args) {
        CommandLine line = Main.commandLine();
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(new StringWriter()));
        return line.execute(args);
    }

    /** What the commands have printed so far. */
    String printed() {
        return out.toString();
    }
}
