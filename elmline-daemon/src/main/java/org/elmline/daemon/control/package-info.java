/** The control role: serves the replicated state to entries and does the leader's duties over it. */
package org.elmline.daemon.control;
