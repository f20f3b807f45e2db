package org.elmline.daemon.gateway;

import java.io.ByteArrayOutputStream;

import io.undertow.util.HeaderMap;

/** An error answered by a server, kept while the call is retried on another one. */
record ServerFailure(int status, HeaderMap headers, ByteArrayOutputStream body) {}
