/**
 * Exact accounting of what an owner placed on each of its engines: memory reserved, prompts not yet read, streams open.
 * Each grant is reserved once and released once, whatever happens in between. Nothing here is thread-safe; the owner's
 * lock guards it.
 */
package org.elmline.core.ledger;
