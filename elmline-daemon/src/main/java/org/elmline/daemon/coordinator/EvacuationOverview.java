package org.elmline.daemon.coordinator;

import java.util.List;

import org.elmline.core.evacuation.Evacuations;

/**
 * The evacuations and how far they have reached the entries, for operators.
 *
 * @param confirmed whether the leader confirmed that these are the latest; if not, they are what one control host holds
 * @param entries live entries by the polls that one control host received
 */
public record EvacuationOverview(boolean confirmed, Evacuations evacuations, List<EvacuationFollower> entries) {
    public EvacuationOverview {
        entries = List.copyOf(entries);
    }
}
