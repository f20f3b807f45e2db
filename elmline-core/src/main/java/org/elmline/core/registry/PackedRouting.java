package org.elmline.core.registry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;

import org.elmline.core.registry.RegistryChannels.RoutingText;

/**
 * A routing document in compressed form, as it is sent to every entry at every change.
 *
 * @param version version of the document, -1 when there is none
 * @param bytes length of the uncompressed document in bytes
 * @param deflated the document in UTF-8, compressed in zlib format
 */
public record PackedRouting(long version, int bytes, byte[] deflated) {
    /**
     * Larger than any document that an operator may submit; bounds the memory that a received length can make this
     * class allocate.
     */
    private static final int MAX_BYTES = 32 * 1024 * 1024;

    /** Compresses a document. The result has version -1 when the document is unknown or absent. */
    public static PackedRouting of(RoutingText document) {
        if (!document.known() || document.version() < 0) {
            return new PackedRouting(-1, 0, new byte[0]);
        }
        byte[] text = document.text().getBytes(StandardCharsets.UTF_8);
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try {
            deflater.setInput(text);
            deflater.finish();
            ByteArrayOutputStream output = new ByteArrayOutputStream(text.length / 4 + 64);
            byte[] buffer = new byte[8_192];
            while (!deflater.finished()) {
                output.write(buffer, 0, deflater.deflate(buffer));
            }
            return new PackedRouting(document.version(), text.length, output.toByteArray());
        } finally {
            deflater.end();
        }
    }

    /** Returns the document; empty when the bytes are damaged, or the stated length is wrong or out of range. */
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
            // When the buffer is exactly full, the inflater only detects the end of the stream when another byte is
            // requested.
            boolean complete = length == bytes && (inflater.finished() || inflater.inflate(new byte[1]) == 0);
            return complete && inflater.finished()
                    ? Optional.of(new RoutingText(true, version, new String(text, StandardCharsets.UTF_8)))
                    : Optional.empty();
        } catch (DataFormatException e) {
            return Optional.empty();
        } finally {
            inflater.end();
        }
    }
}
