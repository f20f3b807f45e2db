/** Commands that send requests to the hosts' operator ports over HTTP: tickets, status and time line. */
package org.elmline.cli.operator;
