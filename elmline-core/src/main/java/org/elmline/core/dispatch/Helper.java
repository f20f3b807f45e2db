package org.elmline.core.dispatch;

import org.elmline.core.common.Address;
import org.elmline.core.common.BackendServerId;

/**
 * An engine that prefills a part of a prompt for another engine.
 *
 * @param memoryTokens KV memory to reserve on it for the prompt, in tokens; 0 if it only prefills
 */
public record Helper(BackendServerId server, Address address, long memoryTokens) {}
