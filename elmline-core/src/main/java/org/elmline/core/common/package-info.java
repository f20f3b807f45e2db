/** Ids, clock, outcomes and clean-up shared by all concerns. */
package org.elmline.core.common;
