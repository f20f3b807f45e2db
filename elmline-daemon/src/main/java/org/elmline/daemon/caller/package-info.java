/** What callers reach: completions, plain services, models and the addresses to use. */
package org.elmline.daemon.caller;
