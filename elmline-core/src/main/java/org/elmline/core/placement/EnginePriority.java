package org.elmline.core.placement;

import org.elmline.core.common.LengthClass;

/**
 * Priority under which engines are asked to serve a prompt: by its length alone, so that a question needn't wait behind
 * a read in the engine. What organisations are given decides earlier, in the owner's queue; were it mixed in here, a
 * long read of a favoured organisation would hold up every short question again.
 */
public final class EnginePriority {
    private EnginePriority() {}

    /** 0 is the most urgent. Prompts over 32k tokens share one level: the longest must finish in their limit too. */
    public static int of(LengthClass lengthClass) {
        return switch (lengthClass) {
            case SHORT -> 0;
            case MEDIUM -> 1;
            case LONG, HUGE -> 2;
        };
    }
}
