/**
 * Quarantine of queries of death: finds the part of prompts that ends every server that begins an answer to it, and
 * keeps calls with that part away from servers. Entries report servers that ended at the beginning of an answer and
 * answers that went on; control hosts decide and tell all entries.
 */
package org.elmline.core.quarantine;
