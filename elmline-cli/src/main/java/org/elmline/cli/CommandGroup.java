package org.elmline.cli;

/** Commands that plug-ins add to. A group is shown only when a plug-in brings something for it. */
public enum CommandGroup {
    PROGRAM("", ""),
    BENCH("bench", "Measures elmline and its policies.");

    private final String word;
    private final String description;

    CommandGroup(String word, String description) {
        this.word = word;
        this.description = description;
    }

    /** The group's own command; empty for the program. */
    public String word() {
        return word;
    }

    public String description() {
        return description;
    }
}
