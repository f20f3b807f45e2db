/** The elmline program. */
package org.elmline.cli;
