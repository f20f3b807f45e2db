/** Commands that measure. */
package org.elmline.cli.bench;
