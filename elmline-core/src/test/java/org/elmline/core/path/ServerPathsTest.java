package org.elmline.core.path;

import org.elmline.core.common.BackendServerId;
import org.elmline.core.common.ServiceName;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

class ServerPathsTest {
    private static final ServiceName DESK = ServiceName.of("desk");
    private static final ServiceName BOOKING = ServiceName.of("booking");
    private static final long MILLI = 1_000_000L;

    private final ServerPaths paths = new ServerPaths();

    private static BackendServerId server(int number) {
        return BackendServerId.of("s" + number);
    }

    /** Guards against a wait for the connection time-out of each server in turn. */
    @Test
    void twoServersInARowCutThePathToTheWholeService() {
        paths.recordUnreachable(DESK, server(1));
        assertTrue(paths.isCut(DESK, server(1)));
        assertFalse(paths.isCut(DESK, server(3)));
        paths.recordUnreachable(DESK, server(1));
        assertFalse(paths.isCut(DESK), "one server, twice");
        paths.recordUnreachable(DESK, server(2));
        assertTrue(paths.isCut(DESK, server(3)));
        assertFalse(paths.isCut(BOOKING, server(1)), "the other service may be reached");
    }

    /** Guards against sending around servers that are reached because two others are not. */
    @Test
    void connectionBetweenTwoFailuresKeepsThePathToTheOthers() {
        paths.recordUnreachable(DESK, server(1));
        paths.recordConnected(DESK, server(3));
        paths.recordUnreachable(DESK, server(2));
        assertFalse(paths.isCut(DESK));
        assertTrue(paths.isCut(DESK, server(1)));
        assertTrue(paths.isCut(DESK, server(2)));
    }

    /** Guards against an entry that takes itself for cut off when servers have crashed. */
    @Test
    void serversThatAreDownCutNoPath() {
        for (int i = 0; i < 5; i++) {
            paths.recordUnreachable(DESK, server(i));
            paths.recordDown(DESK, server(i));
        }
        assertFalse(paths.isAnyServiceCut());
        assertFalse(paths.isCut(DESK, server(1)));
    }

    /** Guards against an entry that takes itself for cut off when servers are taken away, and keeps their ids for ever. */
    @Test
    void serversThatHaveGoneCutNoPath() {
        paths.recordUnreachable(DESK, server(1));
        paths.retain(each -> !each.equals(server(1)));
        paths.recordUnreachable(DESK, server(2));
        assertFalse(paths.isCut(DESK));
        assertFalse(paths.isCut(DESK, server(1)));
        assertTrue(paths.isCut(DESK, server(2)));
    }

    @Test
    void connectionEndsTheCut() {
        paths.recordUnreachable(DESK, server(1));
        paths.recordUnreachable(DESK, server(2));
        paths.recordConnected(DESK, server(2));
        assertFalse(paths.isCut(DESK));
        assertFalse(paths.isCut(DESK, server(2)));
    }

    /** Guards against a connection to a server with each call while the path is cut. */
    @Test
    void trialsAreAtMostTwoASecond() {
        paths.recordUnreachable(DESK, server(1));
        int trials = 0;
        for (int millis = 0; millis < 10_000; millis += 10) {
            trials += paths.tryTrial(DESK, millis * MILLI) ? 1 : 0;
        }
        assertTrue(trials >= 19 && trials <= 20, trials + " in ten seconds");
        assertFalse(paths.tryTrial(BOOKING, 0), "no path is cut there");
    }

    /** Many servers that end within a second refuse connections one after the other, while the path is sound. */
    @Test
    void refusedConnectionsDoNotCutTheService() {
        for (int i = 0; i < 20; i++) {
            paths.recordRefused(DESK, server(i));
        }
        assertFalse(paths.isCut(DESK));
        assertTrue(paths.isCut(DESK, server(3)), "another entry may reach it");
    }
}
