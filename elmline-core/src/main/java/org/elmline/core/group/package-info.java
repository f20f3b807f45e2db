/** Prompts larger than one engine: groups of engines reserved all or nothing. */
package org.elmline.core.group;
