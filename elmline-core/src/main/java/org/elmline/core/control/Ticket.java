package org.elmline.core.control;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.ConfigObject;

/** A numbered change: the complete new state of every object in it. Applied atomically. */
public record Ticket(TicketNumber number, String author, List<ConfigObject> objects) {
    public Ticket {
        if (number == null || objects == null || objects.isEmpty()) {
            throw new IllegalArgumentException("a ticket needs a number and at least one object");
        }
        objects = List.copyOf(objects);
        author = author == null ? "" : author;
        Set<String> keys = new HashSet<>();
        for (ConfigObject object : objects) {
            if (!keys.add(object.key())) {
                throw new IllegalArgumentException("ticket " + number + " names " + object.key() + " twice");
            }
        }
    }
}
