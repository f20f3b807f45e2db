/** Runs placement policies against the engine model on a manual clock, with the policy classes that the daemons use. */
package org.elmline.bench.policy;
