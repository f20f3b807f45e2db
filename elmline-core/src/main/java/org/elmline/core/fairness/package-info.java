/** How organisations share the fleet: weighted token fairness while there is contention, and limits at all times. */
package org.elmline.core.fairness;
