/** What operators reach: tickets, status, events and metrics. */
package org.elmline.daemon.operator;
