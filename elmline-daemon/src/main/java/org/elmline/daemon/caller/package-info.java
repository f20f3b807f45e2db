/**
 * Handles requests of API callers: completions, models and the addresses of entry hosts, with admission, placement and
 * retries.
 */
package org.elmline.daemon.caller;
