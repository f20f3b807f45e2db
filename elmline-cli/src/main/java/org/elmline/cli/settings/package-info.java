/** Commands on settings files. */
package org.elmline.cli.settings;
