package org.elmline.wire.codec;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.exc.UnrecognizedPropertyException;

/** Formats Jackson's exceptions for the sender of the bytes: the path and the error, without class names. */
final class JacksonErrors {
    private static final int MAX_LENGTH = 300;

    private JacksonErrors() {}

    static String describe(JsonProcessingException e) {
        String place = e instanceof JsonMappingException mapping ? path(mapping) : "";
        String fault = e instanceof UnrecognizedPropertyException unknown
                ? "unknown field '" + unknown.getPropertyName() + "'"
                : rootMessage(e);
        String text = place.isEmpty() ? fault : place + ": " + fault;
        return text.length() <= MAX_LENGTH ? text : text.substring(0, MAX_LENGTH);
    }

    private static String path(JsonMappingException e) {
        StringBuilder path = new StringBuilder();
        for (JsonMappingException.Reference each : e.getPath()) {
            if (each.getFieldName() == null) {
                path.append('[').append(each.getIndex()).append(']');
                continue;
            }
            path.append(path.length() == 0 ? "" : ".").append(each.getFieldName());
        }
        return path.toString();
    }

    private static String rootMessage(JsonProcessingException e) {
        Throwable root = e;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        String message = root instanceof JsonProcessingException json ? json.getOriginalMessage() : root.getMessage();
        return message == null ? "malformed" : message;
    }
}
