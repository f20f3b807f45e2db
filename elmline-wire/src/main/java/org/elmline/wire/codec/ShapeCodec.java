package org.elmline.wire.codec;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.function.Supplier;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.elmline.wire.shape.Shape;
import org.elmline.wire.shape.Shapes;
import org.elmline.wire.shape.Tolerance;
import org.elmline.wire.shape.UnsupportedTypeException;

/**
 * Encodes and decodes records by their shapes. Jackson's data binding is the fallback for types that shapes don't
 * support, and describes the error in bytes that don't match. It is created on first use: a process that needs neither
 * never loads its classes and starts sooner.
 */
final class ShapeCodec implements Codec {
    private final JsonFactory factory;
    private final Tolerance tolerance;
    private final Shapes shapes;
    private final Supplier<ObjectMapper> mapperSupplier;
    private final ConcurrentMap<Class<?>, Optional<Shape>> shapesByType = new ConcurrentHashMap<>();
    private volatile Codec jacksonCodec;

    /**
     * @param tolerance which deviations are accepted; if strict, bytes after the value are an error, too
     * @param mapper creates the mapper of data binding for the same format
     */
    ShapeCodec(JsonFactory factory, Tolerance tolerance, Supplier<ObjectMapper> mapper) {
        this.factory = factory;
        this.tolerance = tolerance;
        this.shapes = new Shapes(tolerance);
        this.mapperSupplier = mapper;
    }

    @Override
    public byte[] encode(Object value) {
        Optional<Shape> shape = shape(value.getClass());
        if (shape.isEmpty()) {
            return jacksonCodec().encode(value);
        }
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator to = factory.createGenerator(bytes)) {
            shape.get().write(to, value);
        } catch (UnsupportedTypeException e) {
            shapesByType.put(value.getClass(), Optional.empty());
            return jacksonCodec().encode(value);
        } catch (IOException e) {
            throw new IllegalStateException("cannot encode message type " + value.getClass(), e);
        }
        return bytes.toByteArray();
    }

    @Override
    public <T> Decoded<T> decode(byte[] bytes, Class<T> type) {
        Optional<Shape> shape = shape(type);
        if (shape.isEmpty()) {
            return jacksonCodec().decode(bytes, type);
        }
        try (JsonParser from = factory.createParser(bytes)) {
            from.nextToken();
            T value = type.cast(shape.get().read(from));
            if (tolerance != Tolerance.STRICT || from.nextToken() == null) {
                return new Decoded.Value<>(value);
            }
        } catch (IOException | RuntimeException e) {
            // Data binding decodes the bytes again and describes the error.
        }
        return jacksonCodec().decode(bytes, type);
    }

    private Optional<Shape> shape(Class<?> type) {
        Optional<Shape> shape = shapesByType.get(type);
        if (shape == null) {
            shape = createShape(type);
            shapesByType.put(type, shape);
        }
        return shape;
    }

    private Optional<Shape> createShape(Class<?> type) {
        try {
            return Optional.of(shapes.of(type));
        } catch (UnsupportedTypeException e) {
            return Optional.empty();
        }
    }

    private Codec jacksonCodec() {
        Codec codec = jacksonCodec;
        if (codec == null) {
            codec = new JacksonCodec(mapperSupplier.get());
            jacksonCodec = codec;
        }
        return codec;
    }
}
