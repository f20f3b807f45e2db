/** Objects that operators set by ticket, and the configuration made of them. */
package org.elmline.core.config;
