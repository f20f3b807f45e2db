package org.elmline.core.group;

import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.KvExport;
import org.elmline.core.route.Grant;

/** The one call that a group's run waits for; calls are made one after another. */
public sealed interface GroupStep {
    /** The engine to call. */
    Grant target();

    /** Let an engine attend to a segment that another one holds. */
    record ImportKv(Grant target, KvExport export, Grant source) implements GroupStep {}

    /** Read a segment and keep its KV. */
    record ExportKv(Grant target, EngineRequest request) implements GroupStep {}

    /** Read the last segment and answer. */
    record StreamAnswer(Grant target, EngineRequest request) implements GroupStep {}
}
