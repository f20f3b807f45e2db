/** Commands that run one role of the system until told to stop. */
package org.elmline.cli.role;
