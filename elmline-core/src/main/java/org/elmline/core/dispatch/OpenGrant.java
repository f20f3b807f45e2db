package org.elmline.core.dispatch;

/**
 * A granted attempt that still runs, told to a dispatcher that did not grant it itself.
 *
 * @param writing whether its first token has come
 */
public record OpenGrant(DispatchCall call, DispatchAnswer.Granted granted, boolean writing) {}
