/** Pieces of answers: order, completeness, resume and continuation. */
package org.elmline.core.stream;
