package org.elmline.core.backend;

import com.fasterxml.jackson.annotation.JsonProperty;

/** The two kinds of backend server. */
public enum BackendKind {
    @JsonProperty("engine")
    ENGINE,
    @JsonProperty("service")
    SERVICE
}
