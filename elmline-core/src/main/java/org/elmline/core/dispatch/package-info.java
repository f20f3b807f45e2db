/**
 * Decides where forwarded calls run. One entry, the dispatcher of a service shard, decides for all entries: it records
 * what it has granted on each backend server, so that no two entries choose the same free slot. For engines that
 * prefill and decode in passes it keeps long prefills away from short answers and lets several engines prefill one long
 * prompt together.
 */
package org.elmline.core.dispatch;
