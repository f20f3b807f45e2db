/**
 * Which requests an owner takes, in which order, and when it gives up: a short bounded queue for each model, and
 * deadlines on the monotonic clock. Nothing here is thread-safe; the owner's lock guards it.
 */
package org.elmline.core.admission;
