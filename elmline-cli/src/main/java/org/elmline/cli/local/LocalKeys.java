package org.elmline.cli.local;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.HexFormat;

import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/**
 * The keys of one local deployment. They are stored with its data, since its first ticket holds the caller key's hash.
 */
record LocalKeys(String caller, String operator, String backend, String peer) {
    private static final String FILE_NAME = "local-keys.json";
    private static final int KEY_BYTES = 16;

    static LocalKeys generate() {
        return new LocalKeys(randomKey("caller"), randomKey("operator"), randomKey("backend"), randomKey("peer"));
    }

    /** Reads the keys from a data folder; generates and stores them when it has none. */
    static LocalKeys loadOrGenerate(Path folder) throws IOException {
        Path file = folder.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            LocalKeys keys = generate();
            Files.createDirectories(folder);
            Files.write(file, Codecs.STRICT_JSON.encode(keys));
            return keys;
        }
        Decoded<LocalKeys> read = Codecs.STRICT_JSON.decode(Files.readAllBytes(file), LocalKeys.class);
        if (read instanceof Decoded.Value<LocalKeys> value) {
            return value.value();
        }
        throw new IOException(file + ": " + ((Decoded.Malformed<LocalKeys>) read).reason());
    }

    private static String randomKey(String use) {
        byte[] bytes = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(bytes);
        return use + "-" + HexFormat.of().formatHex(bytes);
    }
}
