/**
 * Routes of calls that are forwarded unchanged: the service for a host name and path, the callers that may use it, the
 * number of attempts and the timeouts. Tables are immutable; one is in force at a time.
 */
package org.elmline.core.routing;
