/**
 * Admission at an owner: a short bounded queue for each model, the order in which requests are placed, and deadlines on
 * the monotonic clock. Nothing here is thread-safe; the owner's lock guards it.
 */
package org.elmline.core.admission;
