package org.elmline.storage;

/** Kinds of records in a segment; the code stands in files and must not change. */
enum RecordType {
    /** Long index, long term, byte kind, the data. Cuts off what stood at its index and behind. */
    ENTRY(1),
    /** Long term, the vote as text (empty for none). */
    HARD_STATE(2),
    /** Long index, long term of a snapshot that replaced the whole log. */
    RESET(3),
    /** Nothing; the folder was closed in order, so everything before was synced. */
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
