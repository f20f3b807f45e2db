package org.elmline.daemon.settings;

/**
 * The lease under which an entry serves.
 *
 * @param leaseMillis how long a lease runs from the moment the entry asked, in milliseconds
 * @param renewMillis how often an entry renews it, in milliseconds; well under {@code leaseMillis}
 */
public record EntryLeaseSettings(long leaseMillis, long renewMillis) {
    public static final EntryLeaseSettings DEFAULT = new EntryLeaseSettings(3_000, 1_000);
}
