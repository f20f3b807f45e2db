package org.elmline.storage;

/** Types of records in a segment. The codes are part of the file format and must not change. */
enum RecordType {
    /** Long index, long term, byte kind, the data. Replaces the entry at its index and truncates the log after it. */
    ENTRY(1),
    /** Long term, the vote as text (empty for none). */
    HARD_STATE(2),
    /** Long index, long term of a snapshot that replaced the whole log. */
    RESET(3),
    /** No payload. Marks an orderly close: everything before it was synced. */
    CLOSED(4);

    private final byte code;

    RecordType(int code) {
        this.code = (byte) code;
    }

    byte code() {
        return code;
    }

    static RecordType ofCode(byte code) {
        for (RecordType each : values()) {
            if (each.code == code) {
                return each;
            }
        }
        return null;
    }
}
