package org.elmline.wire.codec;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.elmline.wire.shape.Tolerance;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/** The codecs of elmline. Each is safe for use by many threads. */
public final class Codecs {
    /** Longest single string accepted, in characters; a prompt of a million tokens fits with room to spare. */
    public static final int MAX_STRING_CHARS = 64 * 1024 * 1024;

    /**
     * For messages between elmline processes. Unknown fields are ignored, so that two releases can run side by side
     * during a rolling upgrade.
     */
    public static final Codec MESSAGE_PACK = messagePack(Tolerance.LENIENT);

    /** For commands and snapshots of the replicated log: like {@link #MESSAGE_PACK}, but no item is skipped. */
    public static final Codec REPLICATED_STATE = messagePack(Tolerance.COMPLETE);

    /**
     * For documents that people write (settings, tickets). An unknown field is an error, since it is most likely a
     * typing mistake.
     */
    public static final Codec STRICT_JSON =
            new ShapeCodec(withReadLimits(new JsonFactory()), Tolerance.STRICT, Codecs::strictMapper);

    /** For JSON that other programs send: unknown fields are ignored. */
    public static final Codec JSON =
            new ShapeCodec(withReadLimits(new JsonFactory()), Tolerance.LENIENT, Codecs::jsonMapper);

    private Codecs() {}

    private static Codec messagePack(Tolerance tolerance) {
        return new MessagePackCodec(new ShapeCodec(
                withReadLimits(messagePackFactory()),
                tolerance,
                () -> lenient(new ObjectMapper(messagePackFactory()))));
    }

    /** Creates a mapper for trees and bodies of the OpenAI API, configured like {@link #JSON}. */
    public static ObjectMapper jsonMapper() {
        return lenient(JsonMapper.builder().build());
    }

    private static ObjectMapper strictMapper() {
        SimpleModule booleans = new SimpleModule().addDeserializer(boolean.class, new OptionalBooleanDeserializer());
        return configure(JsonMapper.builder().addModule(booleans).build())
                .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES);
    }

    static ObjectMapper lenient(ObjectMapper mapper) {
        return configure(mapper).disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
    }

    private static ObjectMapper configure(ObjectMapper mapper) {
        withReadLimits(mapper.getFactory());
        mapper.setAnnotationIntrospector(new SealedTypeIntrospector());
        mapper.setSerializationInclusion(JsonInclude.Include.NON_NULL);
        mapper.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
        mapper.configure(MapperFeature.ALLOW_COERCION_OF_SCALARS, false);
        return mapper;
    }

    private static <F extends JsonFactory> F withReadLimits(F factory) {
        factory.setStreamReadConstraints(StreamReadConstraints.builder()
                .maxStringLength(MAX_STRING_CHARS)
                .build());
        return factory;
    }

    private static MessagePackFactory messagePackFactory() {
        return new MessagePackFactory().setReuseResourceInParser(false).setReuseResourceInGenerator(false);
    }
}
