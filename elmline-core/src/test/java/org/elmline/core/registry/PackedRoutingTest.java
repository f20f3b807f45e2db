package org.elmline.core.registry;

import java.util.Optional;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

class PackedRoutingTest {
    private static RoutingText document(int routes, Random random) {
        StringBuilder text = new StringBuilder("{\"version\":7,\"routes\":[");
        for (int i = 0; i < routes; i++) {
            text.append(i == 0 ? "" : ",")
                    .append("{\"name\":\"r-")
                    .append(Long.toString(random.nextLong(1L << 35), 36))
                    .append("\",\"host\":\"ficu95.example\",\"pathPrefix\":\"/")
                    .append(Long.toString(random.nextLong(1L << 35), 36))
                    .append("/\",\"kind\":\"streaming\",\"timeoutMs\":10000,\"priority\":1,\"attempts\":2}");
        }
        return new RoutingText(true, 7, text.append("]}").toString());
    }

    /**
     * Guards against needless traffic between failure domains: a document is sent to each entry, and uncompressed it
     * is many times as long.
     */
    @Test
    void compressesDocumentOfManyRoutes() {
        RoutingText document = document(1_400, new Random(1));
        PackedRouting packed = PackedRouting.of(document);
        assertEquals(Optional.of(document), packed.unpack());
        int length = document.text().length();
        assertTrue(5 * packed.deflated().length < length, packed.deflated().length + " of " + length + " bytes");
    }

    @Test
    void unknownAndAbsentDocumentsUnpackAsNone() {
        assertEquals(
                Optional.of(RoutingText.NONE),
                PackedRouting.of(RoutingText.NONE).unpack());
        assertEquals(
                Optional.of(RoutingText.NONE),
                PackedRouting.of(RoutingText.UNKNOWN).unpack());
    }

    /**
     * Guards against a routing table built from a truncated document, and against memory allocated for a false length.
     */
    @Property(tries = 200, seed = "3")
    void rejectsDamagedDocument(@ForAll long seed) {
        Random random = new Random(seed);
        RoutingText document = document(1 + random.nextInt(40), random);
        PackedRouting packed = PackedRouting.of(document);
        byte[] truncated = new byte[random.nextInt(packed.deflated().length)];
        System.arraycopy(packed.deflated(), 0, truncated, 0, truncated.length);
        assertEquals(Optional.empty(), new PackedRouting(7, packed.bytes(), truncated).unpack());
        byte[] flipped = packed.deflated().clone();
        flipped[random.nextInt(flipped.length)] ^= (byte) (1 << random.nextInt(8));
        Optional<RoutingText> unpacked = new PackedRouting(7, packed.bytes(), flipped).unpack();
        assertTrue(unpacked.isEmpty() || unpacked.get().equals(document));
        assertEquals(Optional.empty(), new PackedRouting(7, packed.bytes() - 1, packed.deflated()).unpack());
        assertEquals(Optional.empty(), new PackedRouting(7, packed.bytes() + 1, packed.deflated()).unpack());
        assertEquals(Optional.empty(), new PackedRouting(7, Integer.MAX_VALUE, packed.deflated()).unpack());
        assertEquals(Optional.empty(), new PackedRouting(7, -1, packed.deflated()).unpack());
    }
}
