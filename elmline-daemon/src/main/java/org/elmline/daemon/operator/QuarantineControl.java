package org.elmline.daemon.operator;

import java.util.List;

import org.elmline.core.common.ServiceName;
import org.elmline.core.quarantine.PartGroup;
import org.elmline.core.quarantine.QuarantineRecord;

/** What operators may do with the quarantine of prompt parts. Implementations are thread-safe. */
public interface QuarantineControl {
    /** All records, released ones too. */
    List<QuarantineRecord> records();

    /** Quarantines a group until an operator releases it. */
    void quarantine(ServiceName service, PartGroup group);

    /** Releases a group. Returns false when it is not restricted. */
    boolean release(ServiceName service, PartGroup group);
}
