package org.elmline.core.quarantine;

import org.elmline.core.peer.Channel;

/** The calls that control hosts answer for the quarantine. */
public final class QuarantineChannels {
    /** Reports what an entry has observed; answered with all that the control host holds then. */
    public static final Channel<EvidenceReport, QuarantineNews> REPORT =
            new Channel<>("quarantine.report", EvidenceReport.class, QuarantineNews.class);

    private QuarantineChannels() {}
}
