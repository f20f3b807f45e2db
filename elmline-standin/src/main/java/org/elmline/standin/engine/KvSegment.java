package org.elmline.standin.engine;

import org.elmline.core.engine.KvExport;

/**
 * An exported or imported KV segment.
 *
 * @param id id of the memory in the engine model
 * @param export as listed; its tokens are those held in this engine
 * @param contextTokens prompt tokens that the segment covers
 * @param textState hash state of the answer text after the segment
 * @param imported whether another engine computed it
 */
record KvSegment(long id, KvExport export, long contextTokens, long textState, boolean imported) {}
