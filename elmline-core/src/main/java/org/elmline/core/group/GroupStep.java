package org.elmline.core.group;

import org.elmline.core.engine.EngineRequest;
import org.elmline.core.engine.KvExport;
import org.elmline.core.route.Grant;

/** The one call that a group's run waits for; calls are made one after another. */
public sealed interface GroupStep {
    /** The engine to call. */
    Grant on();

    /** Let an engine attend to a segment that another one holds. */
    record ImportKv(Grant on, KvExport export, Grant from) implements GroupStep {}

    /** Read a segment and keep its KV. */
    record ExportKv(Grant on, EngineRequest request) implements GroupStep {}

    /** Read the last segment and answer. */
    record StreamAnswer(Grant on, EngineRequest request) implements GroupStep {}
}
