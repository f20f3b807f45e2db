package org.elmline.core.dispatch;

import java.util.List;

import org.elmline.core.common.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class GrantHoldersTest {
    private static final HostId OLD = HostId.of("old");
    private static final HostId NEW = HostId.of("new");

    private final GrantHolders holders = new GrantHolders();

    @Test
    void theOneThatGrantedHearsOfTheEnd() {
        holders.addHolder("a", OLD);
        assertEquals(List.of(), holders.retainOnly("a", OLD));
        assertEquals(List.of(OLD), holders.holdersOf("a"));
        assertEquals(List.of(OLD), holders.removeAttempt("a"));
        assertEquals(List.of(), holders.removeAttempt("a"), "told once");
    }

    /**
     * Guards against a call counted where it does not run. A long prompt waits seconds for idle engines: it was queued
     * at one dispatcher, requested from the next one when the service's dispatcher changed, and both granted it. The
     * one whose answer came second counted it until two seconds after its deadline, as it was not notified that the
     * call ran elsewhere.
     */
    @Test
    void aSecondGrantIsGivenBack() {
        holders.addHolder("a", OLD);
        holders.addHolder("a", NEW);
        assertEquals(List.of(NEW), holders.retainOnly("a", OLD), "forgets the call");
        assertEquals(List.of(OLD), holders.removeAttempt("a"));
    }

    /**
     * An attempt granted by the old dispatcher is reported to the new one as well: both must be notified of its end.
     */
    @Test
    void whoeverIsToldOfAnAttemptHearsOfItsEnd() {
        holders.addHolder("a", OLD);
        holders.retainOnly("a", OLD);
        holders.addHolder("a", NEW);
        assertEquals(List.of(OLD, NEW), holders.removeAttempt("a"));
    }

    @Test
    void whoWasToldToForgetHearsNothingMore() {
        holders.addHolder("a", OLD);
        holders.removeHolder("a", OLD);
        holders.addHolder("a", NEW);
        holders.retainOnly("a", NEW);
        assertEquals(List.of(NEW), holders.removeAttempt("a"));
    }

    @Test
    void aCallerThatLeavesFreesEveryQueue() {
        holders.addHolder("a", OLD);
        holders.addHolder("a", NEW);
        assertEquals(List.of(OLD, NEW), holders.removeAttempt("a"));
    }
}
