/**
 * Ids, clock, outcomes of calls and clean-up of resources, used by all packages.
 *
 * <p>Ids that serve as map keys define {@code equals} and {@code hashCode} explicitly. The methods generated for a
 * record are linked by the runtime at first use, which takes a newly started process longer than opening its files.
 */
package org.elmline.core.common;
