package org.elmline.daemon.coordinator;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.elmline.core.common.TicketNumber;
import org.elmline.core.config.RoutingDocument;
import org.elmline.core.config.VersionedObject;
import org.elmline.core.control.Command;
import org.elmline.core.control.CommandResult;
import org.elmline.core.control.Ticket;
import org.elmline.core.control.TicketOutcome;
import org.elmline.core.registry.RegistryChannels.RoutingSubmission;
import org.elmline.core.registry.RegistryChannels.RoutingSubmitResult;
import org.elmline.core.registry.RegistryChannels.RoutingText;
import org.elmline.daemon.control.ControlStateMachine;
import org.elmline.daemon.raft.ProposeResult;
import org.elmline.daemon.raft.RaftDriver;
import org.elmline.daemon.raft.ReadResult;
import org.elmline.wire.codec.Codecs;
import org.elmline.wire.codec.Decoded;

/**
 * The routing table in the replicated state. One ticket replaces the whole table, and the ticket's number is its
 * version. Thread-safe.
 */
final class RoutingStore {
    private static final String TICKET_AUTHOR = "operator";

    private final RaftDriver driver;
    private final ControlStateMachine machine;

    RoutingStore(RaftDriver driver, ControlStateMachine machine) {
        this.driver = driver;
        this.machine = machine;
    }

    /** Proposes a document to the log, which only the leader can. Completes normally in every case. */
    CompletableFuture<RoutingSubmitResult> submit(RoutingSubmission submission) {
        if (!driver.isLeader()) {
            return CompletableFuture.completedFuture(RoutingSubmitResult.NOT_LEADER);
        }
        Ticket ticket = new Ticket(
                TicketNumber.of(submission.version()), TICKET_AUTHOR, List.of(new RoutingDocument(submission.text())));
        byte[] command = Codecs.MESSAGE_PACK.encode(Command.ApplyTicket.of(ticket));
        return driver.propose(command).thenApply(RoutingStore::submitOutcome);
    }

    private static RoutingSubmitResult submitOutcome(ProposeResult result) {
        if (result instanceof ProposeResult.Committed committed) {
            return decisionOutcome(committed.result());
        }
        return result instanceof ProposeResult.Unknown ? RoutingSubmitResult.UNKNOWN : RoutingSubmitResult.NOT_LEADER;
    }

    private static RoutingSubmitResult decisionOutcome(byte[] result) {
        Decoded<CommandResult> decoded = Codecs.MESSAGE_PACK.decode(result, CommandResult.class);
        CommandResult applied = ((Decoded.Value<CommandResult>) decoded).value();
        TicketOutcome outcome = ((CommandResult.TicketDecided) applied).outcome();
        return outcome instanceof TicketOutcome.Accepted ? RoutingSubmitResult.ACCEPTED : RoutingSubmitResult.OVERTAKEN;
    }

    /** Reads the newest committed document, which only the leader can; {@link RoutingText#UNKNOWN} elsewhere. */
    CompletableFuture<RoutingText> read() {
        return driver.readIndex()
                .thenApply(result -> result instanceof ReadResult.Readable ? current() : RoutingText.UNKNOWN);
    }

    /** Returns the document that this host has applied, which may be stale. */
    RoutingText current() {
        return machine.read(state -> state.configuration()
                .object(RoutingDocument.KEY)
                .map(RoutingStore::toText)
                .orElse(RoutingText.NONE));
    }

    /** Returns the version of {@link #current()}, -1 without one. */
    long currentVersion() {
        return machine.read(state -> state.configuration()
                .object(RoutingDocument.KEY)
                .map(each -> each.ticket().value())
                .orElse(-1L));
    }

    private static RoutingText toText(VersionedObject object) {
        return new RoutingText(true, object.ticket().value(), ((RoutingDocument) object.object()).text());
    }

    /** Whether a leader confirms that this host has applied all that was committed before its election. */
    boolean isConfirmed() {
        return driver.status().current();
    }

    /** Whether this host leads or is in contact with a leader, and so with a majority of the voters. */
    boolean hasQuorum() {
        return driver.status().leader() != null;
    }
}
