package org.elmline.daemon.node;

import java.util.ArrayList;
import java.util.List;

import org.elmline.core.memory.MemoryAccount;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

class MemorySettingsTest {
    private static final long LARGE_HEAP = 1L << 40;

    private static MemorySettings read(String memory) {
        String json = "{\"name\":\"n\",\"ip\":\"10.0.0.1\",\"region\":\"r\",\"failureDomain\":\"a\",\"peerPort\":7000,"
                + "\"callers\":\"10.0.0.1:80\",\"ready\":\"10.0.0.1:81\",\"peerKey\":\"sixteen-characters\"," + memory
                + "\"controlHosts\":[\"10.0.0.2:90\"]}";
        return assertInstanceOf(NodeSettings.ParseResult.Valid.class, NodeSettings.read(json.getBytes()))
                .settings()
                .memory();
    }

    @Test
    void boundIsQuarterOfHostsMemory() {
        MemorySettings settings = read("\"memory\":{\"hostMegabytes\":282},");
        assertEquals(70_500_000, settings.heldBoundBytes(LARGE_HEAP));
        assertEquals(17_625_000, settings.serverBoundBytes(LARGE_HEAP));
    }

    /** Guards against an entry that runs out of heap before its account is full. */
    @Test
    void boundLeavesRoomInHeap() {
        assertEquals(60_000_000, read("\"memory\":{\"hostMegabytes\":282},").heldBoundBytes(100_000_000));
        assertEquals(60_000_000, read("\"memory\":{\"heldBytes\":70000000},").heldBoundBytes(100_000_000));
    }

    @Test
    void givenBytesComeBeforeShareOfHost() {
        MemorySettings settings =
                read("\"memory\":{\"hostMegabytes\":282,\"heldBytes\":2000000,\"serverBytes\":300000},");
        assertEquals(2_000_000, settings.heldBoundBytes(LARGE_HEAP));
        assertEquals(300_000, settings.serverBoundBytes(LARGE_HEAP));
    }

    /** Guards against an entry without settings that runs out of heap when servers read bodies slowly. */
    @Test
    void boundIsShareOfHeapWithoutSettings() {
        assertEquals(60_000_000, read("").heldBoundBytes(100_000_000));
        assertEquals(60_000_000, read("\"memory\":{\"serverBytes\":300000},").heldBoundBytes(100_000_000));
        assertEquals(MemoryAccount.UNBOUNDED, read("").serverBoundBytes(100_000_000));
    }

    @Test
    void reportsProblems() {
        List<String> problems = new ArrayList<>();
        new MemorySettings(0, 1L, 0L).findProblems(problems);
        assertEquals(3, problems.size(), problems.toString());
    }
}
