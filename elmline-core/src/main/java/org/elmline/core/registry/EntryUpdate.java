package org.elmline.core.registry;

/**
 * A control host's report of an entry that has changed.
 *
 * @param entry the entry's current record, or its last one when it is gone
 * @param gone whether the entry has stopped polling
 */
public record EntryUpdate(EntryRecord entry, boolean gone) {
    public EntryUpdate {
        if (entry == null) {
            throw new IllegalArgumentException("an update of an entry needs its record");
        }
    }
}
