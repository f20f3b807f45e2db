package org.elmline.standin.engine;

/** Fault in the pieces that a stand-in engine writes to its streams. */
public enum PieceFault {
    NONE,
    /** Every piece is written twice. */
    DOUBLED,
    /** Every fifth piece is omitted. */
    MISSING,
    /** Each pair of pieces is written in reverse order. */
    REORDERED,
    /** Pieces of another attempt are written in between. */
    CROSSED
}
