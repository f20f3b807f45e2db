/** Placement policies against the engine model on a manual clock: the same policy classes as the daemons use. */
package org.elmline.bench.policy;
