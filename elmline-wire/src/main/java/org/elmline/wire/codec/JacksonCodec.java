package org.elmline.wire.codec;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * Encodes and decodes with Jackson's data binding, which supports every type and describes the error in malformed
 * bytes.
 */
final class JacksonCodec implements Codec {
    private final ObjectMapper mapper;

    JacksonCodec(ObjectMapper mapper) {
        this.mapper = mapper;
    }

    @Override
    public byte[] encode(Object value) {
        try {
            return mapper.writeValueAsBytes(value);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot encode message type " + value.getClass(), e);
        }
    }

    @Override
    public <T> Decoded<T> decode(byte[] bytes, Class<T> type) {
        try {
            T value = mapper.readValue(bytes, type);
            return value == null ? new Decoded.Malformed<>("empty") : new Decoded.Value<>(value);
        } catch (JsonProcessingException e) {
            return new Decoded.Malformed<>(JacksonErrors.describe(e));
        } catch (IOException | RuntimeException e) {
            // The MessagePack library reports some malformed bytes by exceptions of its own.
            return new Decoded.Malformed<>(String.valueOf(e.getMessage()));
        }
    }
}
