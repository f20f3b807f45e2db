/** Open-loop load over HTTP, and a pass-through proxy as baseline. */
package org.elmline.bench.http;
