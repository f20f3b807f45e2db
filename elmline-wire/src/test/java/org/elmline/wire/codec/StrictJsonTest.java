package org.elmline.wire.codec;

import java.nio.charset.StandardCharsets;

import org.elmline.core.config.Service;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class StrictJsonTest {
    @Test
    void removedMayBeLeftOut() {
        Decoded<Service> read = decode("{'kind':'service','name':'booking','timeoutMillis':5}");
        Service service = (Service)
                assertInstanceOf(Decoded.Value.class, read, read::toString).value();
        assertEquals(false, service.removed());
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{'kind':'service','name':'booking'}",
                "{'kind':'service','name':'booking','timeoutMillis':null}",
                "{'kind':'service','name':'booking','timeoutMillis':5,'removed':null}",
                "{'kind':'service','name':'booking','timeoutMillis':5,'removed':'false'}",
                "{'kind':'service','name':'booking','timeoutMillis':5,'removed':0}",
                "{'kind':'service','name':'booking','timeoutMillis':5,'colour':'red'}",
                "{'kind':'service','name':'booking','timeoutMillis':5} {}"
            })
    void rejectsAbsentNumbersWrongTypesAndUnknownFields(String json) {
        Decoded<Service> read = decode(json);
        assertInstanceOf(Decoded.Malformed.class, read, read::toString);
    }

    private static Decoded<Service> decode(String json) {
        return Codecs.STRICT_JSON.decode(json.replace('\'', '"').getBytes(StandardCharsets.UTF_8), Service.class);
    }
}
