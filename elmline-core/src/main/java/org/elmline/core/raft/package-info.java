/**
 * Replicated log as a pure state machine: messages, the time and proposals in; messages to send, writes to sync and
 * committed entries out. Rests on the Raft paper (Ongaro and Ousterhout, 2014) and Ongaro's thesis; {@link
 * org.elmline.core.raft.RaftNode} is the front.
 */
package org.elmline.core.raft;
