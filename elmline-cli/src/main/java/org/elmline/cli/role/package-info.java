/** Commands that run one role of the system until the process is stopped. */
package org.elmline.cli.role;
