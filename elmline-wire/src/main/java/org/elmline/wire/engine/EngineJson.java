package org.elmline.wire.engine;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.elmline.core.engine.StreamEvent;

/**
 * Reads and writes the JSON of the engine's interface. Unknown fields are ignored, so that a newer release at the other
 * end may add some.
 */
public final class EngineJson {
    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .registerSubtypes(StreamEvent.Piece.class, StreamEvent.End.class, StreamEvent.Failed.class)
            .build();

    private EngineJson() {}

    public static byte[] write(Object value) {
        try {
            return MAPPER.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Encodes one event; writes it as {@link StreamEvent}, so that the event's type name is included. */
    public static byte[] writeEvent(StreamEvent event) {
        try {
            return MAPPER.writerFor(StreamEvent.class).writeValueAsBytes(event);
        } catch (JsonProcessingException e) {
            throw new UncheckedIOException(e);
        }
    }

    public static <T> T read(byte[] json, Class<T> type) throws IOException {
        return requireNonNull(MAPPER.readValue(json, type));
    }

    public static <T> T read(byte[] json, JavaType type) throws IOException {
        return requireNonNull(MAPPER.readValue(json, type));
    }

    public static StreamEvent readEvent(String line) throws IOException {
        return requireNonNull(MAPPER.readValue(line, StreamEvent.class));
    }

    public static JavaType listOf(Class<?> element) {
        return MAPPER.getTypeFactory().constructCollectionType(java.util.List.class, element);
    }

    private static <T> T requireNonNull(T value) throws IOException {
        if (value == null) {
            throw new IOException("the JSON text is null");
        }
        return value;
    }
}
