package org.elmline.cli;

/** Parent commands to which plug-ins add subcommands. A group is shown only when a plug-in adds a command to it. */
public enum CommandGroup {
    PROGRAM("", ""),
    BENCH("bench", "Measures elmline and its policies."),
    OPERATOR("operator", "Gives orders to the control hosts of a deployment that routes calls.");

    private final String commandName;
    private final String description;

    CommandGroup(String commandName, String description) {
        this.commandName = commandName;
        this.description = description;
    }

    /** Name of the group's own command; empty for the program. */
    public String commandName() {
        return commandName;
    }

    public String description() {
        return description;
    }
}
