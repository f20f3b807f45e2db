package org.elmline.core.control;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.elmline.core.config.ConfigObject;

/**
 * SHA-256 over a canonical form of a ticket: its number and its objects in the order of their keys, each as its
 * component names and length-prefixed values. Iterating over the record's components covers components added later as
 * well. The author is not included, so that two operators who send the same content under one number get the same
 * digest.
 */
final class TicketDigest {
    private static final int NULL = 0;
    private static final int TEXT = 1;
    private static final int LIST = 2;

    private TicketDigest() {}

    static String of(Ticket ticket) {
        List<ConfigObject> objects = new ArrayList<>(ticket.objects());
        objects.sort(Comparator.comparing(ConfigObject::key));
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeLong(ticket.number().value());
            for (ConfigObject each : objects) {
                writeObject(out, each);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return Sha256.hex(bytes.toByteArray());
    }

    private static void writeObject(DataOutputStream out, ConfigObject object) throws IOException {
        writeText(out, object.key());
        for (RecordComponent each : object.getClass().getRecordComponents()) {
            writeText(out, each.getName());
            writeValue(out, componentValue(each, object));
        }
    }

    private static void writeValue(DataOutputStream out, Object value) throws IOException {
        if (value == null) {
            out.writeByte(NULL);
            return;
        }
        if (!(value instanceof List<?> list)) {
            writeText(out, value.toString());
            return;
        }
        out.writeByte(LIST);
        out.writeInt(list.size());
        for (Object each : list) {
            writeValue(out, each);
        }
    }

    private static void writeText(DataOutputStream out, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        out.writeByte(TEXT);
        out.writeInt(bytes.length);
        out.write(bytes);
    }

    private static Object componentValue(RecordComponent component, Object instance) {
        try {
            return component.getAccessor().invoke(instance);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("unreadable component " + component, e);
        }
    }
}
