/**
 * Placement between entries: which entry owns a backend server, what owners report to the other entries, and how an
 * entry chooses an owner. An owner answers with a {@link org.elmline.core.route.Grant}; the caller's entry then
 * connects to the engine itself.
 */
package org.elmline.core.route;
