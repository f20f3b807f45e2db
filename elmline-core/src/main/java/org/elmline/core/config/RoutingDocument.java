package org.elmline.core.config;

import com.fasterxml.jackson.annotation.JsonTypeName;

/**
 * The whole routing table as submitted by the operator, stored byte for byte so that a read returns exactly what was
 * sent. {@link org.elmline.core.routing.RoutingFormat} parses the text.
 */
@JsonTypeName("routing")
public record RoutingDocument(String text) implements ConfigObject {
    /**
     * Key of the only object of this kind: each ticket with a routing document replaces all routes, services and keys.
     */
    public static final String KEY = "routing";

    public RoutingDocument {
        if (text == null || text.isEmpty()) {
            throw new IllegalArgumentException("a routing document needs its text");
        }
    }

    @Override
    public String key() {
        return KEY;
    }
}
