package org.elmline.wire.engine;

import org.elmline.core.engine.KvExport;

/**
 * What a stand-in hands to another that imports.
 *
 * @param textState state of the answer text's hash after the exported segment, standing for the KV itself
 */
public record ExportedKv(KvExport export, long textState) {}
