/**
 * Assembly of one caller's answer from the streams of one or more attempts, and the handling of failures: resume,
 * retry, cancel, and detection of streams whose entry is lost.
 */
package org.elmline.core.stream;
