package org.elmline.daemon.gateway;

import io.undertow.util.HeaderMap;
import org.elmline.daemon.http.ByteChunks;

/** An error answered by a server, kept while the call is retried on another one. */
record ServerFailure(int status, HeaderMap headers, ByteChunks body) {}
