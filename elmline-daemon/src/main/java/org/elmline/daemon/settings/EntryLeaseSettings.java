package org.elmline.daemon.settings;

/**
 * The lease that an entry needs to serve.
 *
 * @param leaseMillis duration of a lease in milliseconds, from the moment at which the entry sent its request
 * @param renewMillis interval in milliseconds at which an entry renews its lease; well below {@code leaseMillis}
 */
public record EntryLeaseSettings(long leaseMillis, long renewMillis) {
    public static final EntryLeaseSettings DEFAULT = new EntryLeaseSettings(3_000, 1_000);
}
