package org.elmline.core.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;

import org.elmline.core.common.ConfigVersion;
import org.elmline.core.common.RefusalReason;
import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.ConfigDelta;
import org.elmline.core.config.ConfigObject;
import org.elmline.core.config.Configuration;
import org.elmline.core.config.VersionedObject;

/**
 * Decides tickets and holds the configuration that results from them. Not safe for concurrent use.
 *
 * <p>Kept indefinitely: each object's highest ticket number, which alone prevents an older ticket from reverting the
 * object. Kept for a bounded number of tickets: the decision, to answer a resend. A number at or below the highest one
 * dropped is refused, so that a ticket whose record was dropped is never applied a second time.
 */
final class TicketStore {
    private final TreeMap<TicketNumber, List<TicketRecord>> records = new TreeMap<>();
    private Configuration configuration = Configuration.EMPTY;
    private TicketNumber floor;
    private int recordCount;

    TicketStore() {}

    TicketStore(ControlSnapshot from) {
        configuration = Configuration.EMPTY.with(new ConfigDelta(ConfigVersion.of(0), from.version(), from.objects()));
        floor = from.ticketFloor();
        for (TicketRecord each : from.tickets()) {
            put(each);
        }
    }

    Configuration configuration() {
        return configuration;
    }

    Optional<TicketNumber> floor() {
        return Optional.ofNullable(floor);
    }

    TicketOutcome decide(Ticket ticket, String digest, int limit) {
        for (TicketRecord each : records.getOrDefault(ticket.number(), List.of())) {
            if (each.digest().equals(digest)) {
                return each.outcome();
            }
        }
        Optional<TicketOutcome> refusal = refusal(ticket);
        TicketOutcome outcome = refusal.isPresent() ? refusal.get() : accept(ticket);
        if (floor == null || ticket.number().compareTo(floor) > 0) {
            put(TicketRecord.of(ticket, digest, outcome));
            evictExcess(limit);
        }
        return outcome;
    }

    /** The accepted record of a number, else its first refused one. */
    Optional<TicketRecord> record(TicketNumber number) {
        List<TicketRecord> found = records.getOrDefault(number, List.of());
        for (TicketRecord each : found) {
            if (each.accepted()) {
                return Optional.of(each);
            }
        }
        return found.stream().findFirst();
    }

    /** The record of one content under a number. */
    Optional<TicketRecord> record(TicketNumber number, String digest) {
        for (TicketRecord each : records.getOrDefault(number, List.of())) {
            if (each.digest().equals(digest)) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }

    List<TicketRecord> records() {
        List<TicketRecord> all = new ArrayList<>(recordCount);
        records.values().forEach(all::addAll);
        return all;
    }

    List<TicketRecord> list(TicketListQuery query) {
        NavigableMap<TicketNumber, List<TicketRecord>> lower =
                query.below() == null ? records : records.headMap(query.below(), false);
        List<TicketRecord> found = new ArrayList<>();
        for (List<TicketRecord> each : lower.descendingMap().values()) {
            if (found.size() >= query.limit()) {
                return found;
            }
            found.addAll(each);
        }
        return found;
    }

    private Optional<TicketOutcome> refusal(Ticket ticket) {
        Optional<TicketRecord> accepted = record(ticket.number()).filter(TicketRecord::accepted);
        if (accepted.isPresent()) {
            return refuse(RefusalReason.TICKET_NUMBER_TAKEN, numberTakenMessage(accepted.get()));
        }
        if (floor != null && ticket.number().compareTo(floor) <= 0) {
            return refuse(
                    RefusalReason.STALE_TICKET,
                    "ticket " + ticket.number() + " is not above " + floor
                            + ", the highest number whose decision is no longer kept; it was not applied now");
        }
        for (ConfigObject each : ticket.objects()) {
            Optional<VersionedObject> current = configuration.object(each.key());
            if (current.isPresent() && current.get().ticket().compareTo(ticket.number()) >= 0) {
                return refuse(
                        RefusalReason.STALE_TICKET,
                        each.key() + " was set by the newer ticket "
                                + current.get().ticket());
            }
        }
        return new TicketValidator(configuration, ticket.objects())
                .findError(ticket.objects())
                .flatMap(error -> refuse(RefusalReason.BAD_REQUEST, error));
    }

    private static String numberTakenMessage(TicketRecord accepted) {
        return "number " + accepted.number() + " belongs to the ticket of " + accepted.author() + " with digest "
                + accepted.digest() + " on " + String.join(", ", accepted.keys());
    }

    private static Optional<TicketOutcome> refuse(RefusalReason reason, String message) {
        return Optional.of(new TicketOutcome.Refused(reason, message));
    }

    private TicketOutcome accept(Ticket ticket) {
        ConfigVersion from = configuration.version();
        ConfigVersion to = ConfigVersion.of(from.value() + 1);
        List<VersionedObject> changed = new ArrayList<>();
        for (ConfigObject each : ticket.objects()) {
            changed.add(new VersionedObject(each, ticket.number(), to));
        }
        configuration = configuration.with(new ConfigDelta(from, to, changed));
        return new TicketOutcome.Accepted(to);
    }

    private void put(TicketRecord each) {
        records.computeIfAbsent(each.number(), n -> new ArrayList<>(1)).add(each);
        recordCount++;
    }

    private void evictExcess(int limit) {
        while (recordCount > limit) {
            Map.Entry<TicketNumber, List<TicketRecord>> lowest = records.pollFirstEntry();
            floor = lowest.getKey();
            recordCount -= lowest.getValue().size();
        }
    }
}
