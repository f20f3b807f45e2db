/** Shares tokens between organisations. */
package org.elmline.core.fairness;
