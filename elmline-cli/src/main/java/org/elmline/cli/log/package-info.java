/** Configures where log lines are written. */
package org.elmline.cli.log;
