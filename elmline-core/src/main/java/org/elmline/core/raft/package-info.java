/** Replicated log as a pure state machine. */
package org.elmline.core.raft;
