package org.elmline.core.raft;

/** Type of the data of an entry. The codes are stored in files and must not change. */
public enum EntryKind {
    /** Empty entry that a leader appends at the start of its term, so that it can commit entries of earlier terms. */
    START_OF_TERM(0),
    /** A command for the state machine, not interpreted by Raft. */
    COMMAND(1),
    /** The complete new {@link Membership} in its text form. */
    MEMBERSHIP(2);

    private final int code;

    EntryKind(int code) {
        this.code = code;
    }

    public int code() {
        return code;
    }

    /** Returns the kind with a code, or null for an unknown code. */
    public static EntryKind ofCode(int code) {
        for (EntryKind each : values()) {
            if (each.code == code) {
                return each;
            }
        }
        return null;
    }
}
