/** Exact account of KV memory that an owner placed on its engines. */
package org.elmline.core.ledger;
