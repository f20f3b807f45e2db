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
     * Long prompts wait seconds for engines that have nothing to do: a call waited at one dispatcher, asked the next one
     * when the service's dispatcher changed, and both granted it. The one whose answer came second counted it until its
     * deadline and two seconds more, as nobody told it that the call ran elsewhere.
     */
    @Test
    void aSecondGrantIsGivenBack() {
        holders.addHolder("a", OLD);
        holders.addHolder("a", NEW);
        assertEquals(List.of(NEW), holders.retainOnly("a", OLD), "forgets the call");
        assertEquals(List.of(OLD), holders.removeAttempt("a"));
    }

    /** An attempt is granted by an old dispatcher and told to the new one as well: both must hear of its end. */
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
