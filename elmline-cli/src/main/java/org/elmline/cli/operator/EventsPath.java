package org.elmline.cli.operator;

import okhttp3.HttpUrl;
import org.elmline.core.timeline.EventQuery;

/** Builds the path and query of a request for a host's events. */
final class EventsPath {
    private static final HttpUrl ANY_HOST = HttpUrl.get("http://127.0.0.1/v1/events");

    private EventsPath() {}

    static String of(EventQuery query) {
        HttpUrl.Builder url = ANY_HOST.newBuilder();
        add(url, "request", query.request());
        add(url, "ticket", query.ticket());
        add(url, "host", query.host());
        add(url, "limit", query.limit());
        HttpUrl built = url.build();
        return built.encodedPath() + "?" + built.encodedQuery();
    }

    private static void add(HttpUrl.Builder url, String name, Object value) {
        if (value != null) {
            url.addQueryParameter(name, value.toString());
        }
    }
}
