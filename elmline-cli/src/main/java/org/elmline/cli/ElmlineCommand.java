package org.elmline.cli;

import picocli.AutoComplete;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/** The program itself; every action is one of its subcommands. */
@Command(
        name = "elmline",
        description = "Serves language model prompts of very unlike lengths from one shared fleet.",
        mixinStandardHelpOptions = true,
        scope = ScopeType.INHERIT,
        subcommands = {CommandLine.HelpCommand.class, AutoComplete.GenerateCompletion.class})
final class ElmlineCommand implements Runnable {
    @Spec
    private CommandSpec spec;

    @Override
    public void run() {
        throw new ParameterException(spec.commandLine(), "name a command");
    }
}
