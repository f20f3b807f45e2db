/** Objects that operators change by ticket, and the configuration that consists of them. */
package org.elmline.core.config;
