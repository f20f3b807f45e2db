/**
 * Evacuated failure domains: by an operator's order no new request is sent to the backend servers of a failure domain
 * until another order ends its evacuation. The replicated log decides on orders and holds the state.
 */
package org.elmline.core.evacuation;
