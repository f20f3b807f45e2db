package org.elmline.core.placement;

import org.elmline.core.common.LengthClass;

/**
 * Priority of a prompt in an engine's scheduler. It depends on the prompt's length alone, so that short prompts are not
 * queued behind long prefills in the engine. Organisation priorities apply earlier, in the owner's queue; if they also
 * counted here, a long prefill of a high-priority organisation would delay every short prompt on that engine.
 */
public final class EnginePriority {
    private EnginePriority() {}

    /** 0 is the most urgent. Prompts over 32k tokens share one level, so that the longest also meet their deadlines. */
    public static int of(LengthClass lengthClass) {
        return switch (lengthClass) {
            case SHORT -> 0;
            case MEDIUM -> 1;
            case LONG, HUGE -> 2;
        };
    }
}
