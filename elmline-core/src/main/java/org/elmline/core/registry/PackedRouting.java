package org.elmline.core.registry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import org.elmline.core.registry.RegistryChannels.RoutingText;

/**
 * A routing document in compressed form, as it goes to every entry at every change.
 *
 * @param version version of the document, -1 when there is none
 * @param bytes its length once inflated
 * @param deflated the document in UTF-8, in zlib's format
 */
public record PackedRouting(long version, int bytes, byte[] deflated) {
    /** More than any document that an operator may send. */
    private static final int MAX_BYTES = 32 * 1024 * 1024;

    /** Packs a document, one that isn't there as well. */
    public static PackedRouting of(RoutingText document) {
        if (!document.known() || document.version() < 0) {
            return new PackedRouting(-1, 0, new byte[0]);
        }
        byte[] text = document.text().getBytes(StandardCharsets.UTF_8);
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text);
            deflater.finish();
            ByteArrayOutputStream packed = new ByteArrayOutputStream(text.length / 4 + 64);
            byte[] part = new byte[8_192];
            while (!deflater.finished()) {
                packed.write(part, 0, deflater.deflate(part));
            }
            return new PackedRouting(document.version(), text.length, packed.toByteArray());
        } finally {
            deflater.end();
        }
    }

    /** The document; empty when these bytes are none. */
    public Optional<RoutingText> unpack() {
        if (version < 0) {
            return Optional.of(RoutingText.NONE);
        }
        if (deflated == null || bytes < 0 || bytes > MAX_BYTES) {
            return Optional.empty();
        }
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            byte[] text = new byte[bytes];
            int length = inflater.inflate(text);
            // With room for nothing more, the end of the stream is only noticed by asking for another byte.
            boolean whole = length == bytes && (inflater.finished() || inflater.inflate(new byte[1]) == 0);
            return whole && inflater.finished()
                    ? Optional.of(new RoutingText(true, version, new String(text, StandardCharsets.UTF_8)))
                    : Optional.empty();
        } catch (DataFormatException e) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }
}
