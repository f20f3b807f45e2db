package org.elmline.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;

/** Puts Jackson's exceptions into words. */
final class JsonErrorText {
    private JsonErrorText() {}

    static String describe(JsonProcessingException problem) {
        JsonLocation at = problem.getLocation();
        String message = problem.getOriginalMessage();
        return at == null ? message : message + " (line " + at.getLineNr() + ", column " + at.getColumnNr() + ")";
    }

    static String path(JsonProcessingException problem) {
        if (!(problem instanceof JsonMappingException mapping)) {
            return "";
        }
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference step : mapping.getPath()) {
            path.append('/').append(step.getFieldName() == null ? step.getIndex() : step.getFieldName());
        }
        return path.toString();
    }
}
