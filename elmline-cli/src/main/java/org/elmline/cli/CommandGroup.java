package org.elmline.cli;

/** Commands that plug-ins add to. A group is shown only when a plug-in brings something for it. */
public enum CommandGroup {
    PROGRAM("", ""),
    BENCH("bench", "Measures elmline and its policies.");

    private final String commandName;
    private final String description;

    CommandGroup(String word, String description) {
        this.commandName = word;
        this.description = description;
    }

    /** The group's own command; empty for the program. */
    public String commandName() {
        return commandName;
    }

    public String description() {
        return description;
    }
}
