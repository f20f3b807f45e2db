package org.elmline.daemon.node;

import java.util.List;

import org.elmline.core.memory.MemoryAccount;

/**
 * Bounds on the memory that an entry holds for callers and servers that read slowly. All are optional; an entry with
 * neither of the first two may hold a share of its heap.
 *
 * @param hostMegabytes memory of the host, of which a quarter may be held
 * @param heldBytes most bytes held, in place of the quarter
 * @param serverBytes bytes of unanswered requests above which a server is passed over if there is another one
 */
public record MemorySettings(Integer hostMegabytes, Long heldBytes, Long serverBytes) {
    public static final MemorySettings NONE = new MemorySettings(null, null, null);

    /** Smallest bound: with less, a few ordinary answers would be read in turns. */
    private static final long MIN_HELD_BYTES = 1024 * 1024;

    private static final long BYTES_PER_MEGABYTE = 1_000_000;

    /** Share of the host's memory that may be held; the rest is for the process itself and its sockets. */
    private static final double HELD_SHARE = 0.25;

    /**
     * Share of the largest heap that may be held, whatever the settings say. Held bytes are on the heap, and a process
     * that exceeds it ends. A full account fits into the old generation, two thirds of the heap. With a smaller share,
     * reading is paused for three answers of 14 MB in a heap of 96 MB, which then end too late for a shutdown.
     */
    private static final double HEAP_SHARE = 0.6;

    /** Share of the bound that one server may have unanswered: less than bodies may take, so that other calls go on. */
    private static final double SERVER_SHARE = 0.25;

    void findProblems(List<String> problems) {
        if (hostMegabytes != null && hostMegabytes <= 0) {
            problems.add("/memory/hostMegabytes must be above 0");
        }
        if (heldBytes != null && heldBytes < MIN_HELD_BYTES) {
            problems.add("/memory/heldBytes must be " + MIN_HELD_BYTES + " or more");
        }
        if (serverBytes != null && serverBytes <= 0) {
            problems.add("/memory/serverBytes must be above 0");
        }
    }

    /** Most bytes that the entry may hold. */
    public long heldBoundBytes(long maxHeapBytes) {
        return Math.max(MIN_HELD_BYTES, Math.min(wantedBytes(), (long) (maxHeapBytes * HEAP_SHARE)));
    }

    private long wantedBytes() {
        if (heldBytes != null) {
            return heldBytes;
        }
        return hasBoundSetting() ? (long) (hostMegabytes * BYTES_PER_MEGABYTE * HELD_SHARE) : Long.MAX_VALUE;
    }

    private boolean hasBoundSetting() {
        return heldBytes != null || hostMegabytes != null;
    }

    /** Bytes of unanswered requests above which a server is passed over; {@link MemoryAccount#UNBOUNDED} for never. */
    public long serverBoundBytes(long maxHeapBytes) {
        if (serverBytes != null) {
            return serverBytes;
        }
        return hasBoundSetting() ? (long) (heldBoundBytes(maxHeapBytes) * SERVER_SHARE) : MemoryAccount.UNBOUNDED;
    }
}
