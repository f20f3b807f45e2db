package org.elmline.cli;

/** What the program's exit code means; scripts may rely on it. */
public enum ExitCode {
    /** Done. */
    OK(0, "done"),
    /** A failure that no other code covers. */
    FAILED(1, "failed; the message says how"),
    /** The command line is wrong. */
    USAGE(2, "the command line is wrong"),
    /** The settings, or a file given, are wrong; nothing was opened or sent. */
    INVALID(3, "settings or a given file are wrong; nothing was opened or sent"),
    /** The deployment refused the request; a repeat gives the same answer. */
    REFUSED(4, "refused; the same again gives the same answer"),
    /** No host answered, or none can decide now; trying again later is safe. */
    UNREACHABLE(5, "no host answered or none can decide now; trying again is safe"),
    /** The requested object does not exist. */
    NOT_FOUND(6, "not found");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    public int code() {
        return code;
    }

    /** One line for the help text. */
    public String meaning() {
        return meaning;
    }
}
