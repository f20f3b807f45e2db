package org.elmline.core.group;

import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.KvExport;
import org.elmline.core.route.Grant;

/** The next call of a group run; calls are made one after another. */
public sealed interface GroupStep {
    /** The engine to call. */
    Grant target();

    /** Import a segment that another engine holds, so that the target can attend to it. */
    record ImportKv(Grant target, KvExport export, Grant source) implements GroupStep {}

    /** Prefill a segment and keep its KV. */
    record ExportKv(Grant target, EngineRequest request) implements GroupStep {}

    /** Prefill the last segment and stream the answer. */
    record StreamAnswer(Grant target, EngineRequest request) implements GroupStep {}
}
