package org.elmline.core.config;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** An object that operators create and change by ticket. A ticket always carries the whole new state of the object. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "kind")
public sealed interface ConfigObject permits Model, Organisation, Service, BackendRole, RoutingDocument {
    /**
     * Key unique across all kinds, for example {@code model/elm-small}. Two tickets with the same key change the same
     * object.
     */
    String key();
}
