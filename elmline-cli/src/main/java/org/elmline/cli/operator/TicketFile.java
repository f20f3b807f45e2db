package org.elmline.cli.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import org.elmline.core.control.Ticket;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/** A ticket in a JSON file: {@code {"number":1,"author":"…","objects":[…]}}. Unknown fields are errors. */
final class TicketFile {
    private final Path file;

    TicketFile(Path file) {
        this.file = file;
    }

    Decoded<Ticket> read() {
        try {
            return Codecs.STRICT_JSON.decode(Files.readAllBytes(file), Ticket.class);
        } catch (IOException e) {
            return new Decoded.Malformed<>("cannot be read: " + e);
        }
    }
}
