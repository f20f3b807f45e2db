/**
 * Ids, clock, outcomes and clean-up shared by all concerns.
 *
 * <p>Ids that key tables write out equality and hash code: where a record leaves them to the runtime, it makes them at
 * first use, which takes a process that has just started longer than opening its files does.
 */
package org.elmline.core.common;
