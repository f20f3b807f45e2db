package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.AttemptId;
import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/**
 * What happened to an entry's grants since its last report; repeated until the owner answers.
 *
 * @param begun segments whose prefill may begin, see {@link PlaceMode#SEGMENT}
 * @param firstTokens prompts whose prefill has ended; for a segment, its KV is ready
 */
public record GrantReport(
        HostId host,
        Incarnation incarnation,
        List<AttemptId> begun,
        List<FirstToken> firstTokens,
        List<Release> releases) {
    public GrantReport {
        begun = begun == null ? List.of() : List.copyOf(begun);
        firstTokens = List.copyOf(firstTokens);
        releases = List.copyOf(releases);
    }

    /** A report without segments. */
    public GrantReport(HostId host, Incarnation incarnation, List<FirstToken> firstTokens, List<Release> releases) {
        this(host, incarnation, List.of(), firstTokens, releases);
    }
}
