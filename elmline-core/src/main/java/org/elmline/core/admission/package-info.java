/** Decides at once whether a request can meet its time limit. */
package org.elmline.core.admission;
