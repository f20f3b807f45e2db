/**
 * The registry of live processes: backend servers by their heartbeats, entries by their polls. It is soft state that
 * every control host keeps in memory and propagates. Merging is commutative, so that the order in which hosts receive
 * changes does not matter.
 */
package org.elmline.core.registry;
