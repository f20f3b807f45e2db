package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.common.ServiceName;
import org.elmline.core.dispatch.AttemptEnd;
import org.elmline.core.quarantine.PromptPart;
import org.elmline.core.quarantine.ServerCrash;
import org.elmline.core.quarantine.ServerStart;

/**
 * An answer that broke off, or never began.
 *
 * @param requestId the caller's id of this attempt
 * @param request the whole request, as the body of the call may be gone when the answer is reported
 * @param bornMillis start of the server, in milliseconds since 1970
 * @param atBeginning whether the answer had not gone past its beginning
 * @param brokenOff whether its connection ended amid it; if not, it was silent, rejected or given up
 * @param end how the attempt ended: by its server or link, or because this entry cancelled it
 */
record BrokenAnswer(
        String requestId,
        PromptPart request,
        CallParts parts,
        ServiceName service,
        BackendTarget target,
        long bornMillis,
        boolean atBeginning,
        boolean brokenOff,
        AttemptEnd end) {
    /** The start of the server that was sent the request. */
    ServerStart serverStart() {
        return new ServerStart(target.server(), bornMillis);
    }

    /** Whether a part that other prompts share may have ended the server, so that the next send could end another one. */
    boolean mayBeOfSharedPart() {
        return atBeginning && !parts.shared().isEmpty();
    }

    /**
     * The report that the server ended {@code ageMillis} ago. A shared part ends it only at the beginning of an answer;
     * answers that were given up are as many as a server has callers, and say too little of a part.
     */
    ServerCrash crash(long ageMillis) {
        boolean mayBeOfPart = atBeginning && end != AttemptEnd.CANCELLED;
        List<PromptPart> reported = new ArrayList<>(mayBeOfPart ? parts.shared() : List.of());
        reported.add(request);
        return crash(reported, ageMillis);
    }

    /** The same where it is certain enough to speak against the request, but not against its parts. */
    ServerCrash crashOfRequest(long ageMillis) {
        return crash(List.of(request), ageMillis);
    }

    private ServerCrash crash(List<PromptPart> reported, long ageMillis) {
        return new ServerCrash(requestId, service, target.server(), bornMillis, reported, ageMillis);
    }
}
