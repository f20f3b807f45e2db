package org.elmline.core.raft;

/** What an entry's bytes are; the code stands in files and must not change. */
public enum EntryKind {
    /** Empty entry with which a leader starts its term, so that it can commit what earlier terms left. */
    START_OF_TERM(0),
    /** A command for the state machine, opaque here. */
    COMMAND(1),
    /** The whole new {@link Membership} in its text form. */
    MEMBERSHIP(2);

    private final int code;

    EntryKind(int code) {
        this.code = code;
    }

    public int code() {
        return code;
    }

    /** The kind of a code, or null when there is none. */
    public static EntryKind ofCode(int code) {
        for (EntryKind each : values()) {
            if (each.code == code) {
                return each;
            }
        }
        return null;
    }
}
