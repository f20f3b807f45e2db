package org.elmline.wire.engine;

import org.elmline.core.common.Address;
import org.elmline.core.engine.KvExport;

/** Requests that an engine copy an export from the engine that holds it. */
public record ImportRequest(KvExport export, Address from) {}
