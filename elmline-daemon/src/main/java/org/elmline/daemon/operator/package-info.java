/** HTTP endpoints for operators: tickets, status, events and metrics. */
package org.elmline.daemon.operator;
