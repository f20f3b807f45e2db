package org.elmline.cli;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.ServiceLoader;

import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Starts the program: finds the commands, runs the one named and exits with its code. */
public final class Main {
    private Main() {}

    public static void main(String[] args) {
        int code = commandLine().execute(args);
        System.exit(code);
    }

    /** The command line with the commands of all plug-ins, sorted by name. */
    public static CommandLine commandLine() {
        CommandLine root = new CommandLine(new ElmlineCommand());
        Map<CommandGroup, List<Object>> commands = new EnumMap<>(CommandGroup.class);
        for (CommandPlugin plugin : ServiceLoader.load(CommandPlugin.class)) {
            commands.computeIfAbsent(plugin.group(), group -> new ArrayList<>()).addAll(plugin.commands());
        }
        commands.forEach((group, members) -> addCommands(root, group, members));
        addVersionAndExitCodes(root);
        root.setExecutionExceptionHandler(Main::reportFailure);
        return root;
    }

    private static void addCommands(CommandLine root, CommandGroup group, List<Object> members) {
        CommandLine parent = root;
        if (group != CommandGroup.PROGRAM) {
            parent = new CommandLine(new GroupCommand());
            parent.getCommandSpec().usageMessage().description(group.description());
        }
        members.sort(Comparator.comparing(Main::commandName));
        for (Object member : members) {
            parent.addSubcommand(member);
        }
        if (parent != root) {
            root.addSubcommand(group.commandName(), parent);
        }
    }

    private static String commandName(Object command) {
        return command.getClass().getAnnotation(Command.class).name();
    }

    /** Adds the version and the list of exit codes to every command. */
    private static void addVersionAndExitCodes(CommandLine command) {
        Map<String, String> meanings = new LinkedHashMap<>();
        for (ExitCode code : ExitCode.values()) {
            meanings.put(" " + code.code(), code.meaning());
        }
        command.getCommandSpec().version(ProgramVersion.text());
        command.getCommandSpec().usageMessage().exitCodeListHeading("%nExit codes:%n");
        command.getCommandSpec().usageMessage().exitCodeList(meanings);
        for (CommandLine subcommand : command.getSubcommands().values()) {
            addVersionAndExitCodes(subcommand);
        }
    }

    private static int reportFailure(Exception failure, CommandLine command, CommandLine.ParseResult parsed) {
        command.getErr().println("elmline: " + failure);
        return ExitCode.FAILED.code();
    }
}
