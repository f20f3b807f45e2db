package org.elmline.daemon.gateway;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class StaggeredStartTest {
    private final ManualThread thread = new ManualThread();
    private final List<String> started = new ArrayList<>();
    private final StaggeredStart<String> staggeredStart = new StaggeredStart<>(thread, 60, started::add);

    /**
     * Guards against control hosts that are busy with the handshakes of all entries at once after a loss of all power.
     */
    @Test
    void startsFirstItemAtOnceAndOthersAfterPauses() {
        List.of("a", "b", "c", "b").forEach(staggeredStart::add);
        assertEquals(List.of("a"), started);
        thread.runLater();
        assertEquals(List.of("a", "b"), started);
        thread.runLater();
        thread.runLater();
        thread.runLater();
        assertEquals(List.of("a", "b", "c"), started);
        staggeredStart.add("d");
        assertEquals(List.of("a", "b", "c", "d"), started, "at once after a pause without any item");
    }

    /** Guards against a control host that is never followed again after it was removed. */
    @Test
    void startsRemovedItemAgain() {
        staggeredStart.add("a");
        thread.runLater();
        staggeredStart.add("a");
        assertEquals(List.of("a"), started);
        staggeredStart.remove("a");
        staggeredStart.add("a");
        assertEquals(List.of("a", "a"), started);
    }
}
