/** Commands that ask the hosts' operator ports over HTTP: tickets, status and time line. */
package org.elmline.cli.operator;
