/** Replicated state of the control hosts: tickets, host leases, claims, fencing numbers and engine orders. */
package org.elmline.core.control;
