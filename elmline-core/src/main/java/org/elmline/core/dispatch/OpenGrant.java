package org.elmline.core.dispatch;

/**
 * A granted attempt that still runs, reported to a dispatcher that did not grant it.
 *
 * @param writing whether its first token has arrived
 */
public record OpenGrant(DispatchCall call, DispatchAnswer.Granted granted, boolean writing) {
    public OpenGrant {
        if (call == null || granted == null) {
            throw new IllegalArgumentException("an open grant needs its call and the grant");
        }
    }
}
