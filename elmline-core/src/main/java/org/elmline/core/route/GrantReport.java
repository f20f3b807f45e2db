package org.elmline.core.route;

import java.util.List;

import org.elmline.core.common.HostId;
import org.elmline.core.common.Incarnation;

/** What happened to an entry's grants since its last report; repeated until the owner answers. */
public record GrantReport(HostId host, Incarnation incarnation, List<FirstToken> firstTokens, List<Release> releases) {
    public GrantReport {
        firstTokens = List.copyOf(firstTokens);
        releases = List.copyOf(releases);
    }
}
