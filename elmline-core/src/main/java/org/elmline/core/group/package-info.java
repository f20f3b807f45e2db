/**
 * Serving of prompts that do not fit into one engine. The prompt is split into segments; each is prefilled by one
 * engine, which holds its KV; later engines attend to it through imports, and the last engine streams the answer. The
 * engines are reserved all or nothing.
 */
package org.elmline.core.group;
