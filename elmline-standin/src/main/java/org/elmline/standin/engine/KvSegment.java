package org.elmline.standin.engine;

import org.elmline.core.engine.KvExport;

/**
 * An exported or imported segment.
 *
 * @param id the engine model's number for the memory
 * @param export as listed; its tokens are those held in this engine
 * @param contextTokens tokens of prompt that the segment stands for
 * @param textState state of the answer text's hash after the segment
 * @param imported whether another engine computed it
 */
record KvSegment(long id, KvExport export, long contextTokens, long textState, boolean imported) {}
