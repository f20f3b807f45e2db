package org.elmline.wire.engine;

/** Paths, query parameters and headers of the engine's HTTP interface; see docs/ENGINE-PROTOCOL.md. */
public final class EnginePaths {
    public static final String STREAMS = "/v1/streams";
    public static final String STREAM = "/v1/stream";
    public static final String PRIORITY = "/v1/stream/priority";
    public static final String EXPORTS = "/v1/kv/exports";
    public static final String EXPORT = "/v1/kv/export";
    public static final String IMPORT = "/v1/kv/import";
    public static final String ORDERS = "/v1/orders";
    public static final String STATE = "/v1/state";
    public static final String LOAD = "/v1/load";
    public static final String CACHE_EVENTS = "/v1/cache-events";
    public static final String ANNOUNCE = "/v1/backend-servers/announce";

    public static final String ATTEMPT = "attempt";
    public static final String OFFSET = "offset";
    public static final String ID = "id";
    public static final String AFTER = "after";

    /** Answer header of a backend server that refused a call before running it; its value is then {@code no}. */
    public static final String RAN_HEADER = "Elmline-Ran";

    /** Answer header of a backend server that is leaving; its value is then {@code yes}. */
    public static final String LEAVING_HEADER = "Elmline-Leaving";

    /** Answer header of a refusal: backoff in seconds that the backend server requests from the entry. */
    public static final String RETRY_AFTER_HEADER = "Retry-After";

    private EnginePaths() {}
}
