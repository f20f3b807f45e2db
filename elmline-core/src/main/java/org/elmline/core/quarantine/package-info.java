/** Parts of prompts that crash the servers which answer them. */
package org.elmline.core.quarantine;
