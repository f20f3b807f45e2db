/** HTTP for callers, backend servers and operators: listeners, keys, bounded bodies, errors as JSON. */
package org.elmline.daemon.http;
