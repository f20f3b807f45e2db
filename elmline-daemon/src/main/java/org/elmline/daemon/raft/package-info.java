/**
 * Runs one replica of the replicated log: passes inputs to {@link org.elmline.core.raft.RaftNode}, syncs to {@link
 * org.elmline.storage.DataFolder}, sends over the peer network and applies to a {@link
 * org.elmline.daemon.raft.StateMachine}. {@link org.elmline.daemon.raft.RaftDriver} is the entry point.
 */
package org.elmline.daemon.raft;
