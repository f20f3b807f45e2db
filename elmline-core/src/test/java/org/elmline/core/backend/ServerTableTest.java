package org.elmline.core.backend;

import java.util.List;

import org.elmline.core.owner.OwnerFixture;
import org.junit.jupiter.api.Test;

import static org.elmline.core.owner.OwnerFixture.MILLI;
import static org.junit.jupiter.api.Assertions.assertEquals;

class ServerTableTest {
    private final ServerTable table = new ServerTable(4_000);

    @Test
    void classifiesAnnouncementsByIncarnationAndLease() {
        Object[][] cases = {
            {1, false, 0, AnnounceResult.JOINED},
            {1, false, 1_000, AnnounceResult.RENEWED},
            {3, false, 2_000, AnnounceResult.RESTARTED},
            {2, false, 2_100, AnnounceResult.STALE_INCARNATION},
            {3, true, 3_000, AnnounceResult.LEAVING},
            {3, true, 3_500, AnnounceResult.RENEWED},
            {2, false, 9_000, AnnounceResult.STALE_INCARNATION},
            {3, false, 9_100, AnnounceResult.JOINED},
        };
        int passed = 0;
        for (Object[] each : cases) {
            long now = (int) each[2] * MILLI;
            table.expire(now);
            Announcement announcement = OwnerFixture.engine("engine", (int) each[0], 1_000, (boolean) each[1]);
            assertEquals(each[3], table.announce(announcement, now), "case " + passed);
            passed++;
        }
        assertEquals(8, passed);
        assertEquals(new AnnounceCounts(6, 2, 0), table.counts());
    }

    @Test
    void leaseExpiresAfterItsDuration() {
        table.announce(OwnerFixture.engine("engine", 1, 1_000, false), 0);
        assertEquals(List.of(), table.expire(3_999 * MILLI));
        assertEquals(1, table.expire(4_000 * MILLI).size());
        assertEquals(0, table.size());
    }

    @Test
    void rejectsEngineWithoutMemory() {
        assertEquals(AnnounceResult.INVALID, table.announce(OwnerFixture.engine("engine", 1, 0, false), 0));
        assertEquals(1, table.counts().invalid());
    }
}
