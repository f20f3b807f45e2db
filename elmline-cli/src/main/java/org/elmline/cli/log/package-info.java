/** Where log lines go. */
package org.elmline.cli.log;
