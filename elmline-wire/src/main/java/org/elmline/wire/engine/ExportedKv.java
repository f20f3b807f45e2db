package org.elmline.wire.engine;

import org.elmline.core.engine.KvExport;

/**
 * Export that one stand-in engine sends to another one that imports it.
 *
 * @param textState state of the answer text's hash after the exported segment, in place of the KV cache contents
 */
public record ExportedKv(KvExport export, long textState) {}
