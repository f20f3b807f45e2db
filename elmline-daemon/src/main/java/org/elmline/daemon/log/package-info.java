/** Structured log of decisions: one JSON object per line with the decision and its inputs. */
package org.elmline.daemon.log;
