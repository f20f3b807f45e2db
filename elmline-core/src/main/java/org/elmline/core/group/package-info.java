/**
 * Prompts larger than one engine. The prompt is cut into segments; each is read by one engine that holds its KV, and
 * later engines attend to it through imports; the last engine answers. The engines are reserved all or nothing.
 */
package org.elmline.core.group;
