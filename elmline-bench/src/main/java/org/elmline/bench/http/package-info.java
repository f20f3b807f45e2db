/** Open-loop load over HTTP. */
package org.elmline.bench.http;
