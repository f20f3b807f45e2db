/**
 * One caller's answer put together from the streams of one or more attempts, and what follows a failure: resume,
 * retry, cancel, and the sweep of streams whose entry is gone.
 */
package org.elmline.core.stream;
