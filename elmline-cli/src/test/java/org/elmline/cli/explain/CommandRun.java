package org.elmline.cli.explain;

import java.io.PrintWriter;
import java.io.StringWriter;

import org.elmline.cli.Main;
import picocli.CommandLine;

/** Runs commands of the program and collects their output. */
final class CommandRun {
    private final StringWriter out = new StringWriter();

    /** Returns the exit code. */
    int run(String... args) {
        CommandLine line = Main.commandLine();
        line.setOut(new PrintWriter(out));
        line.setErr(new PrintWriter(new StringWriter()));
        return line.execute(args);
    }

    /** The output of the commands so far. */
    String output() {
        return out.toString();
    }
}
