package org.elmline.core.quarantine;

import java.util.List;
import java.util.Optional;

import org.elmline.core.common.AgeRange;
import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ServiceName;

/**
 * A server that ended before an answer had gone on past its beginning, as the entry that sent the request reports it.
 *
 * @param request the caller's id of the request
 * @param bornMillis start of the server, in milliseconds since 1970
 * @param parts parts of the prompt that other prompts may share, unless the answer had gone past its beginning, and the
 *     whole request
 * @param ageMillis time since the answer ended, in milliseconds
 */
public record ServerCrash(
        String request,
        ServiceName service,
        BackendServerId server,
        long bornMillis,
        List<PromptPart> parts,
        long ageMillis) {
    public ServerCrash {
        if (request == null || service == null || server == null || !AgeRange.contains(ageMillis)) {
            throw new IllegalArgumentException("a crash needs request, service, server and an age in range");
        }
        parts = parts == null ? List.of() : List.copyOf(parts);
    }

    /** The whole request; empty in reports of entries of earlier releases. */
    Optional<PromptPart> wholeRequest() {
        return parts.stream().filter(PromptPart::isRequest).findFirst();
    }

    /** The same crash, reported later. */
    public ServerCrash agedBy(long millis) {
        return new ServerCrash(request, service, server, bornMillis, parts, ageMillis + millis);
    }

    /** Whether another report is of the same crash, whenever each was made. */
    public boolean isSame(ServerCrash other) {
        return server.equals(other.server) && bornMillis == other.bornMillis && request.equals(other.request);
    }

    /** What repeats of the request have in common, as each of them has an id of its own. */
    String identity() {
        return wholeRequest().map(PromptPart::value).orElse(request);
    }
}
