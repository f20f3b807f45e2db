package org.elmline.wire.tcp;

/** Second frame of each side: a signature over both nonces that only a holder of the peer key can make. */
record Proof(byte[] signature) {}
