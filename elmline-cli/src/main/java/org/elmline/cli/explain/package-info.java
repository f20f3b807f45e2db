/** Reads the logs of several processes and shows what became of one request, or when and why requests were lost. */
package org.elmline.cli.explain;
