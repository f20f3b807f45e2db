/**
 * Replicated log as a pure state machine. Inputs are messages, the time and proposals; outputs are messages to send,
 * writes to sync and committed entries. Follows the Raft paper (Ongaro and Ousterhout, 2014) and Ongaro's thesis.
 * {@link org.elmline.core.raft.RaftNode} is the entry point.
 */
package org.elmline.core.raft;
