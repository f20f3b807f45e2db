package org.elmline.standin.engine;

/** What a stand-in engine does wrong with the pieces of its streams. */
public enum PieceFault {
    NONE,
    /** Every piece comes twice. */
    DOUBLED,
    /** Every fifth piece is left out. */
    MISSING,
    /** Each pair of pieces comes in the wrong order. */
    REORDERED,
    /** Pieces of another attempt come in between. */
    CROSSED
}
