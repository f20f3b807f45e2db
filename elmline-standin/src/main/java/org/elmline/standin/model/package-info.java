/**
 * A model of one engine's time and memory: continuous batching with chunked prefill, KV memory, prefix cache,
 * priorities. It has no clock and no threads; the stand-in process drives it in real time and the policy bench on a
 * manual clock.
 */
package org.elmline.standin.model;
