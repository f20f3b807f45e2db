/**
 * Sharing of capacity among organisations: weighted fair queueing by tokens under contention, and limits at all times.
 */
package org.elmline.core.fairness;
