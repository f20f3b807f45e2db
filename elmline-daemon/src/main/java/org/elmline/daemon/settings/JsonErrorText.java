package org.elmline.daemon.settings;

import com.fasterxml.jackson.core.JsonLocation;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;

/** Describes Jackson's exceptions for users: message, position in the text and path. */
final class JsonErrorText {
    private JsonErrorText() {}

    static String describe(JsonProcessingException error) {
        JsonLocation location = error.getLocation();
        String message = error.getOriginalMessage();
        return location == null
                ? message
                : message + " (line " + location.getLineNr() + ", column " + location.getColumnNr() + ")";
    }

    static String path(JsonProcessingException error) {
        if (!(error instanceof JsonMappingException mapping)) {
            return "";
        }
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference step : mapping.getPath()) {
            path.append('/').append(step.getFieldName() == null ? step.getIndex() : step.getFieldName());
        }
        return path.toString();
    }
}
