package org.elmline.core.dispatch;

import java.util.List;

import org.elmline.core.common.HostId;
import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

class GrantHoldersTest {
    private static final HostId OLD_DISPATCHER = HostId.of("old");
    private static final HostId NEW_DISPATCHER = HostId.of("new");

    private final GrantHolders holders = new GrantHolders();

    @Test
    void grantingDispatcherIsNotifiedOfEndOnce() {
        holders.addHolder("a", OLD_DISPATCHER);
        assertEquals(List.of(), holders.retainOnly("a", OLD_DISPATCHER));
        assertEquals(List.of(OLD_DISPATCHER), holders.holdersOf("a"));
        assertEquals(List.of(OLD_DISPATCHER), holders.removeAttempt("a"));
        assertEquals(List.of(), holders.removeAttempt("a"), "notified once");
    }

    /**
     * Guards against a call counted where it does not run. A long prompt waits seconds for idle engines: it was queued
     * at one dispatcher, requested from the next one when the service's dispatcher changed, and both granted it. The
     * one whose answer came second counted it until two seconds after its deadline, as it was not notified that the
     * call ran elsewhere.
     */
    @Test
    void cancelsSecondGrant() {
        holders.addHolder("a", OLD_DISPATCHER);
        holders.addHolder("a", NEW_DISPATCHER);
        assertEquals(List.of(NEW_DISPATCHER), holders.retainOnly("a", OLD_DISPATCHER), "receives the cancellation");
        assertEquals(List.of(OLD_DISPATCHER), holders.removeAttempt("a"));
    }

    /**
     * An attempt granted by the old dispatcher is reported to the new one as well: both must be notified of its end.
     */
    @Test
    void everyDispatcherWithReportIsNotifiedOfEnd() {
        holders.addHolder("a", OLD_DISPATCHER);
        holders.retainOnly("a", OLD_DISPATCHER);
        holders.addHolder("a", NEW_DISPATCHER);
        assertEquals(List.of(OLD_DISPATCHER, NEW_DISPATCHER), holders.removeAttempt("a"));
    }

    @Test
    void dispatcherWithCancellationIsNotNotifiedOfEnd() {
        holders.addHolder("a", OLD_DISPATCHER);
        holders.removeHolder("a", OLD_DISPATCHER);
        holders.addHolder("a", NEW_DISPATCHER);
        holders.retainOnly("a", NEW_DISPATCHER);
        assertEquals(List.of(NEW_DISPATCHER), holders.removeAttempt("a"));
    }

    @Test
    void disconnectedCallerIsRemovedFromEveryQueue() {
        holders.addHolder("a", OLD_DISPATCHER);
        holders.addHolder("a", NEW_DISPATCHER);
        assertEquals(List.of(OLD_DISPATCHER, NEW_DISPATCHER), holders.removeAttempt("a"));
    }
}
