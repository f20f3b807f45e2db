/**
 * Who places a request: which entry owns a backend server, what owners tell the other entries, and how an entry picks
 * an owner. An owner answers with a {@link org.elmline.core.route.Grant}; the caller's entry then talks to the engine
 * itself.
 */
package org.elmline.core.route;
